import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';

/** What a request waits for before it is offered to a target. */
export const WAITS = {
  /** The turns that a turn goes on from. */
  HISTORY: 'history',
  /** Tokens of its program's budget. */
  BUDGET: 'budget',
} as const;

/** The name of a wait. */
export type WaitKind = (typeof WAITS)[keyof typeof WAITS];

/**
 * The part of its time within which a request has to be ready for a target, all waits together. It
 * is below a half, so that a caller who is refused has most of the time left for another attempt.
 */
const READY_SHARE = 0.45;

/** When callers may come back whose history was not read in time: as when the log is not reached. */
const HISTORY_COME_BACK_MS = 600;

/** When callers may come back whose program has a home that does not answer: as the home client says. */
const BUDGET_COME_BACK_MS = 500;

const REFUSALS: Record<WaitKind, { fault: errors.ErrorKind; retryAfterMs: clock.Milliseconds }> = {
  [WAITS.HISTORY]: { fault: 'log-unavailable', retryAfterMs: HISTORY_COME_BACK_MS },
  [WAITS.BUDGET]: { fault: 'home-unavailable', retryAfterMs: BUDGET_COME_BACK_MS },
};

/** Until when a request may wait, all waits together, before it is offered to a target. */
export function readyBy(now: clock.Milliseconds, deadline: clock.Milliseconds): clock.Milliseconds {
  return now + READY_SHARE * Math.max(0, deadline - now);
}

/** The fault for a request that was not sent because a wait took too long. */
export function refusalOf(kind: WaitKind): errors.Fault {
  const { fault, retryAfterMs } = REFUSALS[kind];
  return errors.createFault(fault, undefined, { run: errors.RUN_STATES.NOT_RUN, retryAfterMs });
}

/** The fault for a request whose time was over before it was sent: it has surely not run. */
export function refusalOfLate(): errors.Fault {
  return errors.createFault('deadline-unreachable');
}
