import type { Clock, Milliseconds } from './Types.js';

/** The result of a wait whose time limit passed first. */
export const TIMED_OUT = Symbol('limit passed');

/**
 * Waits for a promise for at most the given duration. The promise is ignored if it settles later,
 * even if it rejects. An infinite duration sets no limit.
 */
export async function withTimeout<Value>(
  time: Clock,
  durationMs: Milliseconds,
  promise: Promise<Value>,
): Promise<Value | typeof TIMED_OUT> {
  if (durationMs <= 0) {
    promise.catch(() => undefined);
    return TIMED_OUT;
  }
  return new Promise((resolve, reject) => {
    const timer = time.startTimer(durationMs, () => resolve(TIMED_OUT));
    promise.then(resolve, reject).finally(() => timer.cancel());
  });
}
