import * as clock from '@limpettack/clock';

const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_INTERVAL_MS = 10;

/** Options of `waitFor`. */
export interface WaitOptions {
  /** Describes the condition in the error message. */
  readonly what: string;
  readonly timeoutMs?: clock.Milliseconds;
  /** Time between checks of the condition, in milliseconds. */
  readonly intervalMs?: clock.Milliseconds;
}

/**
 * Polls a condition until it returns a value other than undefined, null or false, and returns that
 * value. A condition that throws is treated as not met. Throws when the timeout expires.
 */
export async function waitFor<Value>(
  condition: () => Value | Promise<Value>,
  options: WaitOptions,
): Promise<NonNullable<Exclude<Value, false>>> {
  const time = new clock.SystemClock();
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const deadline = time.now() + timeoutMs;
  let lastError: unknown;
  while (time.now() < deadline) {
    try {
      const value = await condition();
      if (value !== undefined && value !== null && value !== false) {
        return value as NonNullable<Exclude<Value, false>>;
      }
    } catch (error) {
      lastError = error;
    }
    await time.sleep(options.intervalMs ?? DEFAULT_INTERVAL_MS);
  }
  const reason = lastError === undefined ? '' : `; last error: ${String(lastError)}`;
  throw new Error(`Timed out after ${timeoutMs} ms waiting for ${options.what}${reason}`);
}
