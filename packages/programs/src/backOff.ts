import type * as clockTypes from '@limpettack/clock';

const INITIAL_PAUSE_MS = 20;
const MAXIMUM_PAUSE_MS = 500;

/** Dependencies of `backOff`. */
export interface BackOffOptions {
  readonly clock: clockTypes.Clock;
  /** Returns a random number between 0 and 1, for jitter. */
  readonly random: () => number;
}

/** Waits before a retry: exponential back-off with jitter, so that retries do not coincide. */
export function backOff(
  failures: number,
  { clock, random }: BackOffOptions,
  signal: AbortSignal,
): Promise<void> {
  const maximumMs = Math.min(MAXIMUM_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** failures);
  return clock.sleep(maximumMs * random(), signal);
}
