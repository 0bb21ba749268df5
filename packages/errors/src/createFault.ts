import type { ErrorKindDefinition, ErrorKind, Fault } from './Types.js';
import * as errorKinds from './ErrorKinds.js';

/** Fields of a fault that replace the defaults of its kind. */
export type FaultOverrides = Partial<Pick<Fault, 'run' | 'retryAfterMs' | 'details'>>;

/** Creates a fault of a kind. A missing message or override is taken from `ERROR_KINDS`. */
export function createFault(
  kind: ErrorKind,
  message?: string,
  overrides: FaultOverrides = {},
): Fault {
  const definition: ErrorKindDefinition = errorKinds.ERROR_KINDS[kind];
  return {
    kind,
    message: message ?? definition.meaning,
    run: definition.run,
    retryAfterMs: definition.retryAfterMs,
    ...overrides,
  };
}
