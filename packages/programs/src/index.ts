/** Order, history, budget and at-most-once calls of programs. */
export * from './Types.js';
export * from './records.js';
export * from './messages.js';
export * from './programIds.js';
export * from './faults.js';
export * from './completions.js';
export * from './ProgramsFold.js';
export * from './Reservations.js';
export * from './ModelCaller.js';
export * from './ServiceCaller.js';
export * from './KeyedCaller.js';
export * from './HomeCalls.js';
export * from './Home.js';
