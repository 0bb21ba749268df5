/** Stores turns in the log and reads the chains that they form. */
export * from './Types.js';
export * from './LoggedTurnStore.js';
export * from './MemoryReservation.js';
export * from './TurnMemory.js';
export * from './turnsTopic.js';
