import * as clock from '@limpettack/clock';

const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_INTERVAL_MS = 10;

/** Limits of a wait. */
export interface WaitOptions {
  /** What is waited for; named when the wait fails. */
  readonly what: string;
  readonly timeoutMs?: clock.Milliseconds;
  /** Time between two checks, in milliseconds. */
  readonly intervalMs?: clock.Milliseconds;
}

/**
 * Waits until a condition gives something other than undefined, null or false, and returns it.
 * Throws when the time is up; a condition that throws counts as not met.
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
  throw new Error(`Waited ${timeoutMs} ms in vain for ${options.what}${reason}`);
}
