/**
 * The order, history, budget and at-most-once calls of programs, journaled in shards. The package
 * `program-budgets` only logs the state of budgets.
 */
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
export * from './OutcomeReports.js';
export * from './ShardAuthority.js';
export * from './HomeCalls.js';
export * from './ProgramTurns.js';
export * from './RunningCalls.js';
export * from './ServiceCallRunner.js';
export * from './SingleCalls.js';
export * from './Home.js';
