/** The metrics of a VM process. */
export * from './Types.js';
export * from './VmMetrics.js';
