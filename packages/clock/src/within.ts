import type { Clock, Milliseconds } from './Types.js';

/** What a race against a time limit returns when the limit came first. */
export const LIMIT_PASSED = Symbol('limit passed');

/**
 * Waits for a promise for at most a span. A promise that settles later is ignored, also when it
 * rejects. An infinite span sets no limit.
 */
export async function within<Value>(
  time: Clock,
  spanMs: Milliseconds,
  promise: Promise<Value>,
): Promise<Value | typeof LIMIT_PASSED> {
  if (spanMs <= 0) {
    promise.catch(() => undefined);
    return LIMIT_PASSED;
  }
  return new Promise((resolve, reject) => {
    const timer = time.startTimer(spanMs, () => resolve(LIMIT_PASSED));
    promise.then(resolve, reject).finally(() => timer.cancel());
  });
}
