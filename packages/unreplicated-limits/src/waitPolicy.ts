import type * as clock from '@limpettack/clock';

/**
 * Maximum time that a call of a running program waits for the limit of its workspace. A refusal may
 * end the program, while a program can usually tolerate a short wait.
 */
const MAXIMUM_WAIT_MS = 600;

/**
 * Maximum time that the first call of a program waits. Running programs take precedence, because
 * the tokens that they have used are wasted if they fail.
 */
const MAXIMUM_FIRST_CALL_WAIT_MS = 300;

/** Share of the burst that first calls leave to running programs. */
const RESERVED_BURST_SHARE = 0.1;

/**
 * Tokens are granted in advance only if those that remain after the request exceed this share of
 * the burst.
 */
const PREFETCH_LEVEL_SHARE = 0.4;

/**
 * Share of the burst that all VMs together may prefetch. Unused prefetched tokens are lost, so
 * small limits shared by many VMs are granted request by request.
 */
const PREFETCH_BURST_SHARE = 0.25;

/** Minimum and maximum retry delay for refused callers. */
const MINIMUM_RETRY_MS = 50;
const MAXIMUM_RETRY_MS = 2_000;

/**
 * Range of the random factor of retry delays, so that callers that are refused together do not
 * return together.
 */
const MINIMUM_RETRY_FACTOR = 0.75;
const MAXIMUM_RETRY_FACTOR = 1.25;

const MILLISECONDS_PER_SECOND = 1_000;

/** State of a workspace's limit when a request for tokens is decided. */
export interface LimitState {
  readonly level: number;
  readonly burst: number;
  readonly ratePerSecond: number;
  /** Number of tokens that the requests ahead of this one need. */
  readonly ahead: number;
  /** Number of VMs that use the limit. */
  readonly memberCount: number;
}

/**
 * Number of tokens that may be granted now: for the waiting requests and, if enough are left, in
 * advance.
 */
export function computeGrant(
  state: LimitState,
  needed: number,
  expected: number,
  isBegin: boolean,
): number {
  if (state.ahead > 0) return 0;
  const reserved = isBegin ? Math.min(RESERVED_BURST_SHARE * state.burst, state.burst - 1) : 0;
  const available = Math.floor(state.level - reserved);
  const granted = Math.max(0, Math.min(needed, available));
  const mayPrefetch = state.level - needed > PREFETCH_LEVEL_SHARE * state.burst;
  if (!mayPrefetch) return granted;
  const prefetchLimit = Math.floor(
    (PREFETCH_BURST_SHARE * state.burst) / Math.max(1, state.memberCount),
  );
  return granted + Math.min(expected, available - granted, prefetchLimit);
}

/** Estimated time until a request is served. */
export function expectedWaitMs(state: LimitState): clock.Milliseconds {
  const missing = Math.max(0, state.ahead + 1 - state.level);
  return (missing / state.ratePerSecond) * MILLISECONDS_PER_SECOND;
}

/** Maximum wait of a request. Requests with a longer expected wait are refused at once. */
export function maximumWaitMs(isBegin: boolean): clock.Milliseconds {
  return isBegin ? MAXIMUM_FIRST_CALL_WAIT_MS : MAXIMUM_WAIT_MS;
}

/**
 * Time after which a refused caller should retry. `random` returns numbers from 0 to 1; without it
 * the delay is not varied. A varied delay is in whole milliseconds, because it is sent to the caller.
 */
export function retryDelayMs(
  waitMs: clock.Milliseconds,
  random: (() => number) | undefined,
): clock.Milliseconds {
  const delayMs = clampRetry(waitMs);
  if (random === undefined) return delayMs;
  const range = MAXIMUM_RETRY_FACTOR - MINIMUM_RETRY_FACTOR;
  return clampRetry(Math.ceil(delayMs * (MINIMUM_RETRY_FACTOR + range * random())));
}

function clampRetry(delayMs: clock.Milliseconds): clock.Milliseconds {
  return Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, delayMs));
}
