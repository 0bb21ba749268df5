/** A fault-injecting proxy and real processes for tests. */
export * from './Types.js';
export * from './Directions.js';
export * from './FaultProxy.js';
export * from './RunningProcess.js';
export * from './startProcess.js';
export * from './PlatformProcess.js';
export * from './TargetProcess.js';
export * from './waitFor.js';
export * from './Caller.js';
