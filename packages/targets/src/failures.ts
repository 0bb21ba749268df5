import * as trueMyth from 'true-myth';
import type { TargetFailure, TargetFailureKind, TargetResult } from './Types.js';
import * as targetFailures from './TargetFailures.js';

/** Creates a failed result. */
export function failed<Value>(kind: TargetFailureKind, message: string): TargetResult<Value> {
  return trueMyth.Result.err<Value, TargetFailure>({ kind, message });
}

/** Creates the failure for a malformed response. */
export function invalid<Value>(message: string): TargetResult<Value> {
  return failed(targetFailures.TARGET_FAILURES.INVALID, message);
}

/** Creates the failure for a response with an error status. */
export function refused<Value>(status: number): TargetResult<Value> {
  return trueMyth.Result.err<Value, TargetFailure>({
    kind: targetFailures.TARGET_FAILURES.REFUSED,
    message: `The target answered with status ${status}.`,
    status,
  });
}
