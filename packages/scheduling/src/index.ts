/** Queues calls and assigns them to targets, by a configurable policy. */
export * from './Types.js';
export * from './Policies.js';
export * from './PoolScheduler.js';
