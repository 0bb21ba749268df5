import type { WorkspaceLimit } from './Types.js';

/**
 * Share of a limit that its owner grants. It is below 1 because VMs that cannot reach the owner
 * admit further requests.
 */
const OWNER_SHARE = 0.95;

/** Share of a limit that a deputy grants to VMs that cannot reach the owner. */
const DEPUTY_SHARE = 0.1;

/**
 * Initial level of a new owner's bucket, in seconds of refill. It is low because the grants of the
 * previous owner are unknown.
 */
const INITIAL_REFILL_SECONDS = 0.2;

/** The part of a workspace's limit that its owner grants. */
export function ownerLimit(limit: WorkspaceLimit): WorkspaceLimit {
  return scale(limit, OWNER_SHARE);
}

/** The part of a workspace's limit that a deputy grants. It lets single requests of a small limit pass. */
export function deputyLimit(limit: WorkspaceLimit): WorkspaceLimit {
  const { burst, ratePerSecond } = scale(limit, DEPUTY_SHARE);
  return { ratePerSecond, burst: Math.max(1, burst) };
}

/** Initial number of tokens in a new owner's bucket. */
export function initialTokens(limit: WorkspaceLimit): number {
  return Math.min(limit.burst, limit.ratePerSecond * INITIAL_REFILL_SECONDS);
}

function scale({ burst, ratePerSecond }: WorkspaceLimit, factor: number): WorkspaceLimit {
  return { ratePerSecond: ratePerSecond * factor, burst: burst * factor };
}
