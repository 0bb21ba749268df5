import * as zod from 'zod';

import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as interpretation from './interpretOutcome.js';
import * as jsonExchange from './JsonExchange.js';
import type {
  HttpClientOptions,
  LogClient,
  LogPage,
  PlatformResult,
  ReadOptions,
} from './Types.js';

const APPEND_RESPONSE = zod.object({ firstOffset: zod.int().min(0) });

const PAGE_RESPONSE = zod.object({
  records: zod.array(
    zod.object({ offset: zod.int().min(0), ageMs: zod.number(), payload: zod.string() }),
  ),
  firstOffset: zod.int().min(0),
  tailOffset: zod.int().min(0),
});

const RETENTION_RESPONSE = zod.object({ retentionMs: zod.number().positive() });

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** A client of the platform's log over HTTP. Dispose of it to close its connections. */
export class HttpLogClient implements LogClient, lifetime.Disposable {
  private readonly exchange: jsonExchange.JsonExchange;

  public constructor(
    time: clock.Clock,
    private readonly options: HttpClientOptions,
  ) {
    const connectTimeoutMs = options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS;
    this.exchange = new jsonExchange.JsonExchange(time, options.baseUrl, connectTimeoutMs);
  }

  /** @inheritdoc */
  public async append(
    stream: string,
    payloads: readonly string[],
  ): Promise<PlatformResult<number>> {
    const outcome = await this.exchange.send({
      method: 'POST',
      path: recordsPath(stream),
      body: { payloads },
      timeoutMs: this.options.requestTimeoutMs,
    });
    const result = interpretation.interpretOutcome(outcome, APPEND_RESPONSE);
    return result.map((response) => response.firstOffset);
  }

  /** @inheritdoc */
  public async read(
    stream: string,
    from: number,
    options: ReadOptions,
  ): Promise<PlatformResult<LogPage>> {
    const { limit, waitMs, signal } = options;
    const outcome = await this.exchange.send({
      method: 'GET',
      path: `${recordsPath(stream)}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      // The log responds to a waiting read when the wait ends; a later response is
      // treated as a failure.
      timeoutMs: waitMs + this.options.requestTimeoutMs,
      ...(signal === undefined ? {} : { signal }),
    });
    return interpretation.interpretOutcome(outcome, PAGE_RESPONSE);
  }

  /** @inheritdoc */
  public async retention(): Promise<PlatformResult<clock.Milliseconds>> {
    const outcome = await this.exchange.send({
      method: 'GET',
      path: '/log/retention',
      timeoutMs: this.options.requestTimeoutMs,
    });
    const result = interpretation.interpretOutcome(outcome, RETENTION_RESPONSE);
    return result.map((response) => response.retentionMs);
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.exchange.dispose();
  }
}

function recordsPath(stream: string): string {
  return `/log/streams/${encodeURIComponent(stream)}/records`;
}
