import * as undici from 'undici';

import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as exchangeCall from './ExchangeCall.js';
import type { ExchangeOutcome, JsonRequest } from './exchangeMessages.js';

const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/**
 * Exchanges JSON with one server and tells exactly whether a failed request may have been written.
 * After a time-out all connections opened so far are given up, since a connection that went
 * silent stays silent.
 */
export class JsonExchange implements lifetime.Disposable {
  private pool: undici.Pool;

  /** Pools that have been replaced and still finish requests. */
  private readonly retiredPools = new Set<undici.Pool>();

  public constructor(
    private readonly time: clock.Clock,
    private readonly baseUrl: string,
    private readonly connectTimeoutMs: clock.Milliseconds,
  ) {
    this.pool = this.openPool();
  }

  /** Sends one request and waits for its answer. It never rejects. */
  public async send(request: JsonRequest): Promise<ExchangeOutcome> {
    const { pool } = this;
    const call = new exchangeCall.ExchangeCall();
    const timer = new AbortController();
    const giveUp = (): void => call.abandon('aborted');
    request.signal?.addEventListener('abort', giveUp, { once: true });
    if (request.signal?.aborted) giveUp();
    this.time
      .sleep(request.timeoutMs, timer.signal)
      .then(() => {
        if (timer.signal.aborted) return;
        call.abandon(`no answer within ${request.timeoutMs} ms`);
        this.replace(pool);
      })
      .catch(() => undefined);
    call.dispatch(pool, request);
    const outcome = await call.outcome;
    timer.abort();
    request.signal?.removeEventListener('abort', giveUp);
    return outcome;
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    const pools = [this.pool, ...this.retiredPools];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  private openPool(): undici.Pool {
    return new undici.Pool(this.baseUrl, {
      connect: { timeout: this.connectTimeoutMs },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      // The exchange's own timer covers the whole call, so those of the library are off.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Leaves the connections of a pool to end with their present requests and opens a new pool. */
  private replace(pool: undici.Pool): void {
    if (this.pool !== pool || pool.destroyed || pool.closed) return;
    this.pool = this.openPool();
    this.retiredPools.add(pool);
    pool
      .close()
      .catch(() => undefined)
      .finally(() => this.retiredPools.delete(pool));
  }
}
