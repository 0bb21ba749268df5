/** A fault-injecting proxy and real processes for tests. */
export * from './Types.js';
export * from './Directions.js';
export * from './FaultProxy.js';
export * from './waitFor.js';
