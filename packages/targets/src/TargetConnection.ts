import type * as clock from '@limpettack/clock';
import * as undici from 'undici';

/** Time after which a silent connection is asked by TCP whether the other end is there. */
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;

/** One request to a target. */
export interface TargetRequest {
  readonly method: string;
  /** Path and query below the origin. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
}

/**
 * One connection that carries one request. Nothing is sent twice, no answer can belong to another
 * request, and a connection that went silent while idle is never met.
 */
export class TargetConnection {
  private readonly client: undici.Client;

  private connected = false;

  public constructor(
    private readonly url: string,
    connectMs: clock.Milliseconds,
  ) {
    this.client = new undici.Client(new URL(url).origin, {
      connect: { timeout: connectMs, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS },
      // The callers set the time limits, so that each has its own meaning.
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
    this.client.on('connect', () => {
      this.connected = true;
    });
  }

  /** False as long as no byte of the request can have been written. */
  public get mayHaveSent(): boolean {
    return this.connected;
  }

  /** Sends the request and resolves with the head of the answer; rejects when there is none. */
  public send(request: TargetRequest): Promise<undici.Dispatcher.ResponseData> {
    const prefix = new URL(this.url).pathname.replace(/\/$/, '');
    return this.client.request({
      method: request.method,
      path: prefix + request.path,
      headers: { ...request.headers, connection: 'close' },
      body: request.body ?? null,
    });
  }

  /** Closes the connection, also in the middle of an answer. */
  public close(): void {
    this.client.destroy().catch(() => undefined);
  }
}
