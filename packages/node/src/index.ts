/** The VM process. */
export * from './NodeSettings.js';
export * from './VmProcess.js';
