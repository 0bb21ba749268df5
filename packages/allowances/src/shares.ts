import type { WorkspaceLimit } from './Types.js';

/** The part of a limit that its owner hands out. The rest is left to VMs that cannot reach it. */
const OWNER_SHARE = 0.95;

/** The part of a limit that all VMs which cannot reach the owner may use together. */
const DETACHED_SHARE = 0.1;

/** The seconds of the rate that a new owner starts with: what the one before handed out is unknown. */
const START_SECONDS = 0.2;

/** What the owner of a workspace's limit hands out. */
export function ownerLimit(limit: WorkspaceLimit): WorkspaceLimit {
  return scale(limit, OWNER_SHARE);
}

/** What one of several VMs may use while it cannot reach the owner. */
export function detachedLimit(limit: WorkspaceLimit, memberCount: number): WorkspaceLimit {
  return scale(limit, DETACHED_SHARE / Math.max(1, memberCount));
}

/** The tokens that a new owner starts with. */
export function startTokens(limit: WorkspaceLimit): number {
  return Math.min(limit.burst, limit.ratePerSecond * START_SECONDS);
}

function scale({ burst, ratePerSecond }: WorkspaceLimit, factor: number): WorkspaceLimit {
  return { ratePerSecond: ratePerSecond * factor, burst: burst * factor };
}
