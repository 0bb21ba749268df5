/** The HTTP interface for callers. */
export * from './Types.js';
export * from './CallDependencies.js';
export * from './CallGate.js';
export * from './ChatHandler.js';
export * from './EntryServer.js';
export * from './HomeClient.js';
export * from './ProgramsHandler.js';
export * from './ServiceHandler.js';
export * from './readBody.js';
export * from './respond.js';
