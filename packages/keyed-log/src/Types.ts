import type * as clock from '@limpettack/clock';
import type * as trueMyth from 'true-myth';
import type * as logFailures from './LogFailures.js';

/** The name of a way in which a call of the log fails. */
export type LogFailureKind =
  (typeof logFailures.LOG_FAILURES)[keyof typeof logFailures.LOG_FAILURES];

/** Why a call of the log has no result. */
export interface LogFailure {
  readonly kind: LogFailureKind;
  readonly message: string;
}

export type LogResult<Value> = trueMyth.Result<Value, LogFailure>;

/** One partition of a topic. */
export interface PartitionName {
  readonly topic: string;
  readonly partition: number;
}

/** A key with its value; without a value the key is removed. */
export interface KeyedRecord {
  readonly key: string;
  readonly value?: Uint8Array | undefined;
}

/** A record as the log keeps it. */
export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

/**
 * Identifies an append. The log answers a repeated append with the answer that it gave first, so
 * an append whose answer was lost can be sent again.
 */
export interface AppendIdentity {
  /** Unique for each life of a process and each partition. */
  readonly producer: string;
  /** Counts the appends of the producer from 0. */
  readonly sequence: number;
}

/** What an append takes beside its records. */
export interface AppendOptions {
  readonly identity: AppendIdentity;
  /** The append fails with `conflict` unless the partition ends here. */
  readonly expectedEnd?: number | undefined;
}

/** Where the records of an append lie. */
export interface AppendReceipt {
  readonly firstOffset: number;
  /** The offset that the next record will get. */
  readonly endOffset: number;
}

/** Part of the newest records of all keys of a partition. */
export interface NewestPage {
  readonly records: readonly StoredRecord[];
  readonly hasMore: boolean;
  readonly endOffset: number;
}

/** A run of records of a partition. */
export interface ReadPage {
  readonly records: readonly StoredRecord[];
  readonly firstOffset: number;
  readonly endOffset: number;
}

/** How a read waits. */
export interface ReadOptions {
  /** How long the log may wait for a record at the end of the partition, in milliseconds. */
  readonly waitMs: clock.Milliseconds;
  /** Records come up to this size, the first one always; without it, up to the log's own limit. */
  readonly maximumBytes?: number | undefined;
}

/** A log whose partitions keep the newest record of each key for good. */
export interface KeyedLog {
  /** Appends records, all or none. */
  append(
    partition: PartitionName,
    records: readonly KeyedRecord[],
    options: AppendOptions,
  ): Promise<LogResult<AppendReceipt>>;

  /** Returns newest records in the order of their keys, those behind a key if one is given. */
  newest(partition: PartitionName, after?: string): Promise<LogResult<NewestPage>>;

  /** Reads records from an offset; `expired` when they are no longer kept. */
  read(partition: PartitionName, from: number, options: ReadOptions): Promise<LogResult<ReadPage>>;
}

/** The newest record of every key, and an offset from which reading on misses nothing. */
export interface PartitionState {
  readonly records: readonly StoredRecord[];
  readonly endOffset: number;
}

/** What came to a partition since an offset. */
export interface PartitionChanges {
  /** In the order of their offsets; records that later ones replace may be left out. */
  readonly records: readonly StoredRecord[];
  /** Where to read on. */
  readonly nextOffset: number;
}

/** Where a follower reads its partition. */
export interface PartitionSource {
  readonly partition: PartitionName;
  /** The newest record of every key. */
  list(): Promise<LogResult<PartitionState>>;
  /** What came since an offset; `expired` when that cannot be told any more. */
  readOn(from: number, waitMs: clock.Milliseconds): Promise<LogResult<PartitionChanges>>;
}

/** Takes in the records of a followed partition. */
export interface FollowerHandler {
  /** Replaces all that is known: the partition was read from its start. */
  onReset(records: readonly StoredRecord[]): void;
  /** Takes the next record. */
  onRecord(record: StoredRecord): void;
  /** Called after each batch of records or reset, and after each read that brought nothing. */
  onCaughtUp(): void;
}
