/** Fakes for tests of packages that use the log. */
export * from './MemoryKeyedLog.js';
export * from './BandwidthLimitedLog.js';
export * from './SilentLog.js';
