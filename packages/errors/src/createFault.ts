import type { ErrorAnswer, ErrorKind, Fault } from './Types.js';
import * as errorKinds from './ErrorKinds.js';

/** What a fault may say beyond its kind and message. */
export type FaultOverrides = Partial<Pick<Fault, 'run' | 'retryAfterMs' | 'details'>>;

/** Makes a fault of a kind; what the overrides leave out comes from the table. */
export function createFault(
  kind: ErrorKind,
  message?: string,
  overrides: FaultOverrides = {},
): Fault {
  const answer: ErrorAnswer = errorKinds.ERROR_KINDS[kind];
  return {
    kind,
    message: message ?? answer.meaning,
    run: answer.run,
    retryAfterMs: answer.retryAfterMs,
    ...overrides,
  };
}
