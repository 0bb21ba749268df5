/** `limpettackctl`, the command line tool of operators. */
export * from './Types.js';
export * from './ExitCodes.js';
export * from './runCommandLine.js';
