/** Clients of targets, and tracking of their health, load and memory. */
export * from './Types.js';
export * from './TargetFailures.js';
export * from './TargetLookup.js';
export * from './cancelSupersededCalls.js';
export * from './connectionFields.js';
export * from './ConfigurationLookup.js';
export * from './CrashFingerprints.js';
export * from './HttpTargetClient.js';
export * from './MemoryReleaser.js';
export * from './PoolTargetDirectory.js';
export * from './RetryBudget.js';
export * from './isDelimited.js';
