import type * as errorKinds from './ErrorKinds.js';

/** Whether the work of a refused request reached a target. */
export type RunState = (typeof errorKinds.RUN_STATES)[keyof typeof errorKinds.RUN_STATES];

/** The name of an error kind. */
export type ErrorKind = keyof typeof errorKinds.ERROR_KINDS;

/** The response to a kind of error. */
export interface ErrorKindDefinition {
  /** The HTTP status code. */
  readonly status: number;
  /** Default run state; a fault may override it. */
  readonly run: RunState;
  /** Default delay after which the caller may retry, in milliseconds; 0 means never. */
  readonly retryAfterMs: number;
  /** What the kind means, in one sentence. */
  readonly meaning: string;
}

/** An expected failure, returned as a value instead of thrown. */
export interface Fault {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly run: RunState;
  /** Delay after which the caller may retry, in milliseconds; 0 means never. */
  readonly retryAfterMs: number;
  /** Further fields of the response body, such as the last turn that the home holds. */
  readonly details?: Readonly<Record<string, string | number | boolean>>;
}
