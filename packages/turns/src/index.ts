/** Turns kept in the log, and the chains that they form. */
export * from './Types.js';
export * from './LoggedTurnStore.js';
