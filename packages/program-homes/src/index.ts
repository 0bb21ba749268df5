/** One place for each program: its token budget and where its turns lie. */
export * from './Types.js';
export * from './HomeClient.js';
export * from './HomeServer.js';
