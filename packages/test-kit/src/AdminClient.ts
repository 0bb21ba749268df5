import * as undici from 'undici';

const FIRST_ERROR_STATUS = 400;

/** A client for the HTTP interface of a stand-in. Each request uses a new connection. */
export class AdminClient {
  public constructor(private readonly baseUrl: string) {}

  /** Sends a request and returns the JSON response, if any. Throws on status 400 and above. */
  public async send(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const response = await undici.request(this.baseUrl + path, {
      method,
      body: body === undefined ? null : JSON.stringify(body),
      // A reused connection may have been destroyed by a fault.
      reset: true,
    });
    const text = await response.body.text();
    if (response.statusCode >= FIRST_ERROR_STATUS) {
      throw new Error(`${method} ${path} failed with status ${response.statusCode}: ${text}`);
    }
    return text === '' ? undefined : JSON.parse(text);
  }
}
