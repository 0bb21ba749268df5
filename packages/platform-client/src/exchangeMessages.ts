import type * as clock from '@limpettack/clock';

/** A request to the platform. */
export interface JsonRequest {
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly body?: unknown;
  /** Time for the whole exchange, the opening of a connection included, in milliseconds. */
  readonly timeoutMs: clock.Milliseconds;
  readonly signal?: AbortSignal;
}

/** How an exchange ended. */
export const EXCHANGE_ENDS = {
  /** The whole answer has arrived. */
  ANSWERED: 'answered',
  /** No byte of the request was written. */
  NOT_WRITTEN: 'not-written',
  /** The request may have been written, and the answer has not arrived whole. */
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
