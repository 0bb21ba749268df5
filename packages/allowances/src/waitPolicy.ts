import type * as clock from '@limpettack/clock';

/**
 * The longest that a call of a program under way waits for its workspace's limit. A program has
 * some slack in its time, and a refused call may end it, so a short wait is the lesser harm.
 */
const LONGEST_WAIT_MS = 600;

/**
 * The longest that the first call of a program waits. It goes behind programs under way: those
 * have used up their share of the limit for nothing if they fail now.
 */
const LONGEST_BEGIN_WAIT_MS = 300;

/** The part of the burst that first calls leave to programs under way. */
const KEPT_BURST_SHARE = 0.1;

/** Requests are handed out ahead of need while this part of the burst is left. */
const PLENTY_SHARE = 0.4;

/**
 * The part of the burst that all VMs together may hold ahead. What a VM does not use is lost, so small
 * limits over many VMs are handed out request by request.
 */
const AHEAD_SHARE = 0.25;

const MILLISECONDS_PER_SECOND = 1_000;

/** What a decision rests on. */
export interface LimitState {
  readonly level: number;
  readonly burst: number;
  readonly ratePerSecond: number;
  /** Requests that wait before this one. */
  readonly ahead: number;
  /** VMs that draw on the limit. */
  readonly memberCount: number;
}

/** How many requests may be handed out now. */
export function grantNow(
  state: LimitState,
  needed: number,
  expected: number,
  isBegin: boolean,
): number {
  if (state.ahead > 0) return 0;
  const kept = isBegin ? Math.min(KEPT_BURST_SHARE * state.burst, state.burst - 1) : 0;
  const available = Math.floor(state.level - kept);
  const granted = Math.max(0, Math.min(needed, available));
  const isPlenty = state.level - needed > PLENTY_SHARE * state.burst;
  if (!isPlenty) return granted;
  const share = Math.floor((AHEAD_SHARE * state.burst) / Math.max(1, state.memberCount));
  return granted + Math.min(expected, available - granted, share);
}

/** How long until a request has its turn. */
export function expectedWaitMs(state: LimitState): clock.Milliseconds {
  const missing = Math.max(0, state.ahead + 1 - state.level);
  return (missing / state.ratePerSecond) * MILLISECONDS_PER_SECOND;
}

/** How long a request may wait; one that would wait longer is refused at once. */
export function longestWaitMs(isBegin: boolean): clock.Milliseconds {
  return isBegin ? LONGEST_BEGIN_WAIT_MS : LONGEST_WAIT_MS;
}
