/** Clients of the platform's keyed log: direct, or relayed and shared through peers. */
export * from './Types.js';
export * from './LogFailures.js';
export * from './keyLimit.js';
export * from './KeyedFollower.js';
export * from './PartitionWriter.js';
export * from './MeasuredLog.js';
export * from './RelayedLog.js';
export * from './LogSource.js';
export * from './SharedPartitions.js';
export * from './readAllNewestRecords.js';
export * from './readNewestRecord.js';
export * from './partitionOf.js';
export * from './LogSpace.js';
