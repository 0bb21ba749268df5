/**
 * Enforces each workspace's rate and burst across all VMs. The owner of a shard replicates its
 * buckets to a standby; the package `unreplicated-limits` does not.
 */
export * from './Types.js';
export * from './FleetAdmission.js';
export * from './TokenBucket.js';
