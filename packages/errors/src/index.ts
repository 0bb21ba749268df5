/** The error kinds, and the faults created from them. */
export * from './Types.js';
export * from './ErrorKinds.js';
export * from './createFault.js';
