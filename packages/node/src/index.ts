/** The VM process. */
export * from './NodeSettings.js';
export * from './VmProcess.js';
export type { NodeSecrets } from './VmContext.js';
