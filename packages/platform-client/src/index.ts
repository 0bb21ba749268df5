/** Clients of the platform's log and VM list. */
export * from './Types.js';
export * from './PlatformFailures.js';
export * from './HttpLogClient.js';
export * from './HttpVmListClient.js';
export * from './StreamFollower.js';
