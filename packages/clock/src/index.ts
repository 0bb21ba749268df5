/** Monotonic clocks and timers, in milliseconds. */
export * from './Types.js';
export * from './SystemClock.js';
export * from './ManualClock.js';
export * from './withTimeout.js';
