/** Shards on the platform's log whose owners are fenced by epochs. */
export * from './Types.js';
export * from './Durabilities.js';
export * from './ShardJournal.js';
export * from './ShardReader.js';
export * from './JournalRecord.js';
export * from './RecordKinds.js';
