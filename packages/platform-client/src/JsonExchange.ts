import * as undici from 'undici';

import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as exchangeCall from './ExchangeCall.js';
import type { ExchangeOutcome, JsonRequest } from './exchangeMessages.js';

const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/**
 * Exchanges JSON with one server and reports exactly whether a failed request may have been
 * written. After a timeout all connections opened so far are retired, since a connection that has
 * stalled stays stalled.
 */
export class JsonExchange implements lifetime.Disposable {
  private pool: undici.Pool;

  /** Retired pools that still have requests in progress. */
  private readonly retiredPools = new Set<undici.Pool>();

  public constructor(
    private readonly time: clock.Clock,
    private readonly baseUrl: string,
    private readonly connectTimeoutMs: clock.Milliseconds,
  ) {
    this.pool = this.openPool();
  }

  /** Sends one request and waits for its response. It never rejects. */
  public async send(request: JsonRequest): Promise<ExchangeOutcome> {
    const { pool } = this;
    const call = new exchangeCall.ExchangeCall();
    const timer = new AbortController();
    const abort = (): void => call.abort('aborted');
    request.signal?.addEventListener('abort', abort, { once: true });
    if (request.signal?.aborted) abort();
    this.time
      .sleep(request.timeoutMs, timer.signal)
      .then(() => {
        if (timer.signal.aborted) return;
        call.abort(`no answer within ${request.timeoutMs} ms`);
        this.retire(pool);
      })
      .catch(() => undefined);
    call.dispatch(pool, request);
    const outcome = await call.outcome;
    timer.abort();
    request.signal?.removeEventListener('abort', abort);
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
      // The timer of the exchange covers the whole call, so the timeouts of undici are disabled.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  /** Opens a new pool. The connections of the old one close when their current requests end. */
  private retire(pool: undici.Pool): void {
    if (this.pool !== pool || pool.destroyed || pool.closed) return;
    this.pool = this.openPool();
    this.retiredPools.add(pool);
    pool
      .close()
      .catch(() => undefined)
      .finally(() => this.retiredPools.delete(pool));
  }
}
