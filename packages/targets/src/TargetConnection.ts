import type * as clock from '@limpettack/clock';
import * as undici from 'undici';

/** Idle time after which TCP probes whether the other end is still there. */
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
 * A connection for a single request. Without reuse, no request is sent twice, no response can belong
 * to another request, and no request uses a connection that was closed while idle.
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
      // Callers of this class apply their own time limits, to distinguish which one was exceeded.
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
    this.client.on('connect', () => {
      this.connected = true;
    });
  }

  /** Whether bytes of the request may have been written. */
  public get mayHaveSent(): boolean {
    return this.connected;
  }

  /** Sends the request and resolves with the response head. Rejects if none is received. */
  public send(request: TargetRequest): Promise<undici.Dispatcher.ResponseData> {
    const prefix = new URL(this.url).pathname.replace(/\/$/, '');
    return this.client.request({
      method: request.method,
      path: prefix + request.path,
      headers: { ...request.headers, connection: 'close' },
      body: request.body ?? null,
    });
  }

  /** Closes the connection, even in the middle of a response. */
  public close(): void {
    this.client.destroy().catch(() => undefined);
  }
}
