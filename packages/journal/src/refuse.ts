import * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';

/**
 * A result that refuses. `mayCount` says that the record may count, or come to count, all the same;
 * the fault's details repeat it.
 */
export function refuse<Value>(
  kind: errors.ErrorKind,
  message?: string,
  mayCount = false,
): trueMyth.Result<Value, errors.Fault> {
  const overrides = mayCount ? { details: { mayCount } } : {};
  return trueMyth.Result.err(errors.createFault(kind, message, overrides));
}
