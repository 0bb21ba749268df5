import * as clock from '@limpettack/clock';

/** Returned when the caller disconnects before the promise settles. */
export const CALLER_DISCONNECTED = Symbol('caller disconnected');

/**
 * Waits for a promise until a timeout or until the caller disconnects. A result or a rejection that
 * comes later is ignored.
 */
export async function waitWhileConnected<Value>(
  time: clock.Clock,
  timeoutMs: clock.Milliseconds,
  caller: AbortSignal,
  promise: Promise<Value>,
): Promise<Value | typeof clock.TIMED_OUT | typeof CALLER_DISCONNECTED> {
  let disconnect: () => void = () => undefined;
  const disconnected = new Promise<typeof CALLER_DISCONNECTED>((resolve) => {
    disconnect = () => resolve(CALLER_DISCONNECTED);
  });
  caller.addEventListener('abort', disconnect, { once: true });
  if (caller.aborted) disconnect();
  try {
    return await clock.withTimeout(time, timeoutMs, Promise.race([disconnected, promise]));
  } finally {
    caller.removeEventListener('abort', disconnect);
  }
}
