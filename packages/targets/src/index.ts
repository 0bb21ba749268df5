/** Clients of targets, their health, load and memory. */
export * from './Types.js';
export * from './TargetFailures.js';
