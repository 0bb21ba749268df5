/** The operators' command line. */
export * from './Types.js';
export * from './ExitCodes.js';
export * from './runCommandLine.js';
