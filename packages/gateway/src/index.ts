/** Routes requests from callers to targets and passes on the responses. */
export * from './Types.js';
export * from './RouteKinds.js';
export * from './SendFailures.js';
export * from './CompactChunks.js';
export * from './CrashWatch.js';
export * from './EvacuatedDomains.js';
export * from './Gateway.js';
export * from './CurrentTables.js';
export * from './PlacementRules.js';
export * from './ProcessEnd.js';
export * from './TargetRegistry.js';
export * from './TargetScores.js';
export * from './TargetSelector.js';
export * from './TargetSender.js';
export * from './OwnedTargetLimits.js';
export * from './TargetLimits.js';
export * from './TargetWatch.js';
