/** Each workspace's rate and burst over all VMs together. */
export * from './Types.js';
export * from './FleetAdmission.js';
export * from './TokenBucket.js';
