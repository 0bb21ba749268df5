import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';

/** What a request may wait for before it is sent to a target. */
export const WAITS = {
  /** The turns that the new turn continues. */
  HISTORY: 'history',
  /** A reservation of tokens from the budget of the request's program. */
  BUDGET: 'budget',
} as const;

/** A value of `WAITS`. */
export type WaitKind = (typeof WAITS)[keyof typeof WAITS];

/**
 * Share of a request's remaining time that all waits before sending may take together. It is below
 * one half, so that a refused caller has more than half of that time left for another attempt.
 */
const PREPARATION_SHARE = 0.45;

/** Retry delay if the history was not read in time; the same as when the log is unreachable. */
const HISTORY_RETRY_AFTER_MS = 600;

/** Retry delay if the home of a program does not respond; the same as in the home client. */
const BUDGET_RETRY_AFTER_MS = 500;

const REFUSALS: Record<WaitKind, { fault: errors.ErrorKind; retryAfterMs: clock.Milliseconds }> = {
  [WAITS.HISTORY]: { fault: 'log-unavailable', retryAfterMs: HISTORY_RETRY_AFTER_MS },
  [WAITS.BUDGET]: { fault: 'home-unavailable', retryAfterMs: BUDGET_RETRY_AFTER_MS },
};

/** The time by which all waits before the request is sent to a target must have ended. */
export function preparationDeadline(
  now: clock.Milliseconds,
  deadline: clock.Milliseconds,
): clock.Milliseconds {
  return now + PREPARATION_SHARE * Math.max(0, deadline - now);
}

/** The fault for a request that was not sent because a wait timed out. */
export function waitTimeoutFault(kind: WaitKind): errors.Fault {
  const { fault, retryAfterMs } = REFUSALS[kind];
  return errors.createFault(fault, undefined, { run: errors.RUN_STATES.NOT_RUN, retryAfterMs });
}

/** The fault for a request whose deadline passed before it was sent, so it has not run. */
export function deadlinePassedFault(): errors.Fault {
  return errors.createFault('deadline-unreachable');
}
