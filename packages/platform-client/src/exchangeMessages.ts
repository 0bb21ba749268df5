import type * as clock from '@limpettack/clock';

/** A JSON request to the platform. */
export interface JsonRequest {
  readonly method: 'GET' | 'POST';
  /** The path and the query. */
  readonly path: string;
  readonly body?: unknown;
  /** Timeout of the whole exchange, including the opening of a connection, in milliseconds. */
  readonly timeoutMs: clock.Milliseconds;
  /** Aborts the exchange. */
  readonly signal?: AbortSignal;
}

/** The ways in which an exchange ends. */
export const EXCHANGE_ENDS = {
  /** The complete response has arrived. */
  ANSWERED: 'answered',
  /** No byte of the request was written. */
  NOT_WRITTEN: 'not-written',
  /** The request may have been written, but no complete response has arrived. */
  BROKEN: 'broken',
} as const;

/** The outcome of an exchange. */
export type ExchangeOutcome =
  | {
      readonly end: typeof EXCHANGE_ENDS.ANSWERED;
      readonly status: number;
      readonly body: string;
    }
  | { readonly end: typeof EXCHANGE_ENDS.NOT_WRITTEN; readonly message: string }
  | { readonly end: typeof EXCHANGE_ENDS.BROKEN; readonly message: string };
