import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';

/**
 * Creates a refused result. `mayCount` states that the record may nevertheless be accepted, now or
 * later; it is copied into the fault's details.
 */
export function refuse<Value>(
  kind: errors.ErrorKind,
  message?: string,
  mayCount = false,
): trueMyth.Result<Value, errors.Fault> {
  const overrides = mayCount ? { details: { mayCount } } : {};
  return trueMyth.Result.err(errors.createFault(kind, message, overrides));
}
