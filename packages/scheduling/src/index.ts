/** The order of waiting calls and the choice of a target for each. */
export * from './Types.js';
export * from './Policies.js';
export * from './PoolScheduler.js';
