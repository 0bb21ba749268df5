import * as trueMyth from 'true-myth';
import type { TargetFailure, TargetFailureKind, TargetResult } from './Types.js';
import * as targetFailures from './TargetFailures.js';

/** A failure as a result. */
export function failed<Value>(kind: TargetFailureKind, message: string): TargetResult<Value> {
  return trueMyth.Result.err<Value, TargetFailure>({ kind, message });
}

/** An answer that cannot be understood. */
export function invalid<Value>(message: string): TargetResult<Value> {
  return failed(targetFailures.TARGET_FAILURES.INVALID, message);
}

/** An error status. */
export function refused<Value>(status: number): TargetResult<Value> {
  return trueMyth.Result.err<Value, TargetFailure>({
    kind: targetFailures.TARGET_FAILURES.REFUSED,
    message: `The target answered with status ${status}.`,
    status,
  });
}
