/** Structured logs with a fixed prefix for each part of the process. */
export * from './Types.js';
export * from './PartLogger.js';
export * from './BoundedOutput.js';
export * from './setLogOutput.js';
