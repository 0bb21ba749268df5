import type * as errorKinds from './ErrorKinds.js';

/** Whether the work of a refused request reached a target. */
export type RunState = (typeof errorKinds.RUN_STATES)[keyof typeof errorKinds.RUN_STATES];

/** The name of an error kind. */
export type ErrorKind = keyof typeof errorKinds.ERROR_KINDS;

/** How a kind of error is answered. */
export interface ErrorAnswer {
  /** The HTTP status code. */
  readonly status: number;
  /** What is said about the run unless the error itself knows better. */
  readonly run: RunState;
  /** Default time after which the caller may come back, in milliseconds; 0 says never. */
  readonly retryAfterMs: number;
  /** What the kind means, in one sentence. */
  readonly meaning: string;
}

/** An expected failure, as a value. */
export interface Fault {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly run: RunState;
  /** Time after which the caller may come back, in milliseconds; 0 says never. */
  readonly retryAfterMs: number;
  /** Further fields for the answer's body, such as the last turn held. */
  readonly details?: Readonly<Record<string, string | number | boolean>>;
}
