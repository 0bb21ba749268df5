/** Enforces each workspace's rate and burst across all VMs. */
export * from './Types.js';
export * from './FleetAdmission.js';
export * from './TokenBucket.js';
