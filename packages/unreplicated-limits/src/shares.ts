import type { Tolerance, WorkspaceLimit } from './Types.js';

/**
 * Share of a limit that its owner grants. It is below 1 because VMs that cannot reach the owner
 * admit further requests.
 */
const OWNER_SHARE = 0.95;

/** Share of a limit that all VMs that cannot reach the owner may use together. */
const FALLBACK_SHARE = 0.1;

/**
 * Share of the tolerance that calls of running programs may overdraw. The rest remains for
 * prefetched tokens and for the time between a grant and the arrival of its request at a target.
 */
const OVERDRAFT_TOLERANCE_SHARE = 0.4;

/**
 * Initial level of a new owner's bucket, in seconds of refill. It is low because the grants of the
 * previous owner are unknown.
 */
const INITIAL_REFILL_SECONDS = 0.2;

/** The part of a workspace's limit that its owner grants. */
export function ownerLimit(limit: WorkspaceLimit): WorkspaceLimit {
  return scale(limit, OWNER_SHARE);
}

/** The part of a limit that one VM may use while it cannot reach the owner. */
export function fallbackLimit(limit: WorkspaceLimit, memberCount: number): WorkspaceLimit {
  return scale(limit, FALLBACK_SHARE / Math.max(1, memberCount));
}

/** Initial number of tokens in a new owner's bucket. */
export function initialTokens(limit: WorkspaceLimit): number {
  return Math.min(limit.burst, limit.ratePerSecond * INITIAL_REFILL_SECONDS);
}

/** Number of tokens that calls of running programs may take from an empty bucket. */
export function overdraftTokens(tolerance: Tolerance, { burst }: WorkspaceLimit): number {
  return Math.min(burst, tolerance.requests * OVERDRAFT_TOLERANCE_SHARE);
}

function scale({ burst, ratePerSecond }: WorkspaceLimit, factor: number): WorkspaceLimit {
  return { ratePerSecond: ratePerSecond * factor, burst: burst * factor };
}
