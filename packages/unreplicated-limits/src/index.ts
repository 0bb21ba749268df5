/**
 * Rate limits of workspaces for the whole fleet, granted to VMs in advance. A workspace's bucket
 * exists only in its owner's memory; the package `limits` replicates the buckets to a standby.
 */
export * from './Types.js';
export * from './AllowanceClient.js';
export * from './AllowanceOwner.js';
