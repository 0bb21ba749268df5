import type * as clock from '@limpettack/clock';
import type * as trueMyth from 'true-myth';
import type * as logFailures from './LogFailures.js';

/** One of the kinds in `LOG_FAILURES`. */
export type LogFailureKind =
  (typeof logFailures.LOG_FAILURES)[keyof typeof logFailures.LOG_FAILURES];

/** Why a call of the log failed. */
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

/** A key of at most `MAXIMUM_KEY_BYTES`, with its value. A record without a value removes the key. */
export interface KeyedRecord {
  readonly key: string;
  readonly value?: Uint8Array | undefined;
}

/** A record as stored in the log. */
export interface StoredRecord extends KeyedRecord {
  readonly offset: number;
}

/**
 * Identifies an append, which makes it idempotent: the log answers a repeated append with the
 * receipt of the first one, so an append whose response was lost can be retried safely.
 */
export interface AppendIdentity {
  /** Unique within its partition, also across runs of the process. */
  readonly producer: string;
  /** Counts the appends of the producer from 0. */
  readonly sequence: number;
}

/** Options of an append. */
export interface AppendOptions {
  readonly identity: AppendIdentity;
  /** If set, the append fails with `conflict` unless the partition ends at this offset. */
  readonly expectedEnd?: number | undefined;
}

/** The offsets of the appended records, which are contiguous. */
export interface AppendReceipt {
  readonly firstOffset: number;
  /** The offset after the last record. */
  readonly endOffset: number;
}

/** One page of the newest records of all keys of a partition. */
export interface NewestPage {
  readonly records: readonly StoredRecord[];
  readonly hasMore: boolean;
  readonly endOffset: number;
}

/** Consecutive records of a partition. */
export interface ReadPage {
  readonly records: readonly StoredRecord[];
  readonly firstOffset: number;
  readonly endOffset: number;
}

/** Options of a read. */
export interface ReadOptions {
  /** How long the log may wait for a record at the end of the partition, in milliseconds. */
  readonly waitMs: clock.Milliseconds;
  /**
   * Maximum size of the returned records in bytes; the first record is always returned. The
   * default is the limit of the log.
   */
  readonly maximumBytes?: number | undefined;
}

/** A partitioned log that retains the newest record of each key indefinitely. */
export interface KeyedLog {
  /** Appends records atomically. */
  append(
    partition: PartitionName,
    records: readonly KeyedRecord[],
    options: AppendOptions,
  ): Promise<LogResult<AppendReceipt>>;

  /**
   * Returns one page of the newest records, ordered by key.
   * @param after Only keys after this one are returned.
   */
  newest(partition: PartitionName, after?: string): Promise<LogResult<NewestPage>>;

  /** Reads records from an offset. Fails with `expired` if they are no longer retained. */
  read(partition: PartitionName, from: number, options: ReadOptions): Promise<LogResult<ReadPage>>;
}

/** The newest record of every key, and the offset from which to read later changes. */
export interface PartitionState {
  readonly records: readonly StoredRecord[];
  readonly endOffset: number;
}

/** The changes of a partition since an offset. */
export interface PartitionChanges {
  /**
   * Ordered by offset. May omit a record if a later record has the same key, or if the record is
   * equivalent to the previous one of its key.
   */
  readonly records: readonly StoredRecord[];
  /** The offset from which the next read starts. */
  readonly nextOffset: number;
}

/** The source from which a follower reads its partition. */
export interface PartitionSource {
  readonly partition: PartitionName;
  /** Returns the newest record of every key. */
  list(): Promise<LogResult<PartitionState>>;
  /**
   * Returns the changes since an offset and waits up to `waitMs` for the first one. Fails with
   * `expired` if the source no longer holds all of them.
   */
  readChanges(from: number, waitMs: clock.Milliseconds): Promise<LogResult<PartitionChanges>>;
}

/** Receives the records of a followed partition. */
export interface FollowerHandler {
  /** Replaces the state of the handler with the newest record of every key. */
  onReset(records: readonly StoredRecord[]): void;
  /** Applies the next record. */
  onRecord(record: StoredRecord): void;
  /** Called after each reset and each read, also after a read that returned no records. */
  onCaughtUp(): void;
}
