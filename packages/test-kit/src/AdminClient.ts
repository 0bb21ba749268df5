import * as undici from 'undici';

const FIRST_ERROR_STATUS = 400;

/** Sends requests below `/admin/` to a stand-in, each on a connection of its own. */
export class AdminClient {
  public constructor(private readonly baseUrl: string) {}

  /** Sends a request and returns the JSON answer. Throws on an error status. */
  public async send(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const answer = await undici.request(this.baseUrl + path, {
      method,
      body: body === undefined ? null : JSON.stringify(body),
      // A kept connection could be one that a fault has just destroyed.
      reset: true,
    });
    const text = await answer.body.text();
    if (answer.statusCode >= FIRST_ERROR_STATUS) {
      throw new Error(`${method} ${path} was answered ${answer.statusCode}: ${text}`);
    }
    return text === '' ? undefined : JSON.parse(text);
  }
}
