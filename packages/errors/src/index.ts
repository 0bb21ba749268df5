/** The closed list of error kinds and the faults made from it. */
export * from './Types.js';
export * from './ErrorKinds.js';
export * from './createFault.js';
