import type * as clockTypes from '@limpettack/clock';

const FIRST_PAUSE_MS = 20;
const LONGEST_PAUSE_MS = 500;

/** What the pause needs. */
export interface BackOffOptions {
  readonly clock: clockTypes.Clock;
  /** Between 0 and 1, for jitter. */
  readonly random: () => number;
}

/** Waits before a retry: longer after each failure, with jitter so that retries do not meet. */
export function backOff(
  failures: number,
  { clock, random }: BackOffOptions,
  signal: AbortSignal,
): Promise<void> {
  const longest = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** failures);
  return clock.sleep(longest * random(), signal);
}
