import type { WorkspaceLimit } from './Types.js';

/** Share of a limit that its owner grants. The rest is left to VMs that cannot reach the owner. */
const OWNER_SHARE = 0.95;

/** Share of a limit that all VMs that cannot reach the owner may use together. */
const FALLBACK_SHARE = 0.1;

/** Initial level of a new owner in seconds of the rate. Grants of the previous one are unknown. */
const START_SECONDS = 0.2;

/** The part of a workspace's limit that its owner grants. */
export function ownerLimit(limit: WorkspaceLimit): WorkspaceLimit {
  return scale(limit, OWNER_SHARE);
}

/** The part of a limit that one VM may use while it cannot reach the owner. */
export function fallbackLimit(limit: WorkspaceLimit, memberCount: number): WorkspaceLimit {
  return scale(limit, FALLBACK_SHARE / Math.max(1, memberCount));
}

/** Initial number of tokens of a new owner. */
export function startTokens(limit: WorkspaceLimit): number {
  return Math.min(limit.burst, limit.ratePerSecond * START_SECONDS);
}

function scale({ burst, ratePerSecond }: WorkspaceLimit, factor: number): WorkspaceLimit {
  return { ratePerSecond: ratePerSecond * factor, burst: burst * factor };
}
