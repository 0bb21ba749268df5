import * as clock from '@limpettack/clock';

/** What a wait returns when the caller has gone before it ended. */
export const CALLER_GONE = Symbol('caller gone');

/**
 * Waits for a promise for at most a span, and only while the caller is there. A promise that settles
 * later is ignored, also when it rejects.
 */
export async function whileWanted<Value>(
  time: clock.Clock,
  spanMs: clock.Milliseconds,
  gone: AbortSignal,
  promise: Promise<Value>,
): Promise<Value | typeof clock.LIMIT_PASSED | typeof CALLER_GONE> {
  let leave: () => void = () => undefined;
  const leaving = new Promise<typeof CALLER_GONE>((resolve) => {
    leave = () => resolve(CALLER_GONE);
  });
  gone.addEventListener('abort', leave, { once: true });
  if (gone.aborted) leave();
  try {
    return await clock.within(time, spanMs, Promise.race([leaving, promise]));
  } finally {
    gone.removeEventListener('abort', leave);
  }
}
