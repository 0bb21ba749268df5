import type { Clock, Milliseconds, Timer } from './Types.js';

/** Resolves with what some work brings, or with nothing when that takes too long. */
export async function within<Value>(
  time: Clock,
  work: Promise<Value>,
  spanMs: Milliseconds,
): Promise<Value | undefined> {
  let timer: Timer | undefined;
  const late = new Promise<undefined>((resolve) => {
    timer = time.startTimer(Math.max(0, spanMs), () => resolve(undefined));
  });
  try {
    return await Promise.race([work, late]);
  } finally {
    timer?.cancel();
  }
}
