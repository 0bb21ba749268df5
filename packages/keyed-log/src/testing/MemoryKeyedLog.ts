import * as trueMyth from 'true-myth';
import * as logFailures from '../LogFailures.js';
import type {
  AppendOptions,
  AppendReceipt,
  KeyedLog,
  KeyedRecord,
  LogFailureKind,
  LogResult,
  NewestPage,
  PartitionName,
  ReadOptions,
  ReadPage,
  StoredRecord,
} from '../Types.js';

/** Records of one listing at most, from the platform's pages on its store. */
const LISTED_RECORDS = 500;

/** Bytes of the keys and values of one listing at most (1 MB), from the same pages. */
const LISTED_BYTES = 1_048_576;

/** Bytes of one read at most where it asks for no size (1,024 KB), from the same pages. */
const READ_BYTES = 1_048_576;

interface StoredPartition {
  readonly records: StoredRecord[];
  readonly newest: Map<string, StoredRecord>;
  readonly receipts: Map<string, AppendReceipt>;
  /** Records before this offset can only be had as the newest of their key. */
  firstOffset: number;
}

/** A keyed log in memory, with faults, for tests. */
export class MemoryKeyedLog implements KeyedLog {
  /** How the next calls fail; taken one a call. */
  public readonly failures: LogFailureKind[] = [];

  /** Whether every call fails, and how. */
  public outage: LogFailureKind | undefined;

  /** Appends take effect though the answer is lost while this is set. */
  public losesAnswers = false;

  /** Records of one listing at most. */
  public pageSize = LISTED_RECORDS;

  public appendCount = 0;

  public readCount = 0;

  private readonly partitions = new Map<string, StoredPartition>();

  /** @inheritdoc */
  public async append(
    name: PartitionName,
    records: readonly KeyedRecord[],
    options: AppendOptions,
  ): Promise<LogResult<AppendReceipt>> {
    this.appendCount += 1;
    const failure = this.takeFailure();
    if (failure !== undefined) return fail(failure);
    const partition = this.partition(name);
    const id = `${options.identity.producer}/${options.identity.sequence}`;
    const receipt = partition.receipts.get(id) ?? this.store(partition, records, options);
    if (receipt === undefined) return fail(logFailures.LOG_FAILURES.CONFLICT);
    partition.receipts.set(id, receipt);
    return this.losesAnswers ? fail(logFailures.LOG_FAILURES.LOST) : trueMyth.Result.ok(receipt);
  }

  /** @inheritdoc */
  public async newest(name: PartitionName, after = ''): Promise<LogResult<NewestPage>> {
    this.readCount += 1;
    const failure = this.takeFailure();
    if (failure !== undefined) return fail(failure);
    const partition = this.partition(name);
    const records = [...partition.newest.values()]
      .filter(({ key, value }) => value !== undefined && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const listed = takeWithin(records.slice(0, this.pageSize), LISTED_BYTES);
    return trueMyth.Result.ok({
      records: listed,
      hasMore: records.length > listed.length,
      endOffset: partition.records.length,
    });
  }

  /** @inheritdoc */
  public async read(
    name: PartitionName,
    from: number,
    { maximumBytes = READ_BYTES }: Partial<ReadOptions> = {},
  ): Promise<LogResult<ReadPage>> {
    this.readCount += 1;
    const failure = this.takeFailure();
    if (failure !== undefined) return fail(failure);
    const partition = this.partition(name);
    if (from < partition.firstOffset) return fail(logFailures.LOG_FAILURES.EXPIRED);
    return trueMyth.Result.ok({
      records: takeWithin(partition.records.slice(from), maximumBytes),
      firstOffset: partition.firstOffset,
      endOffset: partition.records.length,
    });
  }

  /** Drops the history of a partition; the newest record of each key stays. */
  public compact(name: PartitionName): void {
    const partition = this.partition(name);
    partition.firstOffset = partition.records.length;
  }

  private store(
    partition: StoredPartition,
    records: readonly KeyedRecord[],
    options: AppendOptions,
  ): AppendReceipt | undefined {
    const firstOffset = partition.records.length;
    if (options.expectedEnd !== undefined && options.expectedEnd !== firstOffset) return undefined;
    records.forEach((record) => {
      const stored = { ...record, offset: partition.records.length };
      partition.records.push(stored);
      partition.newest.set(record.key, stored);
    });
    return { firstOffset, endOffset: partition.records.length };
  }

  private partition(name: PartitionName): StoredPartition {
    const id = `${name.topic}/${name.partition}`;
    const known = this.partitions.get(id);
    if (known !== undefined) return known;
    const created: StoredPartition = {
      records: [],
      newest: new Map(),
      receipts: new Map(),
      firstOffset: 0,
    };
    this.partitions.set(id, created);
    return created;
  }

  private takeFailure(): LogFailureKind | undefined {
    return this.outage ?? this.failures.shift();
  }
}

/** The first record, and those after it while all together stay within a size in bytes. */
function takeWithin(records: readonly StoredRecord[], bytes: number): readonly StoredRecord[] {
  let total = 0;
  const beyond = records.findIndex(({ key, value }, index) => {
    total += Buffer.byteLength(key) + (value?.length ?? 0);
    return index > 0 && total > bytes;
  });
  return beyond < 0 ? records : records.slice(0, beyond);
}

function fail<Value>(kind: LogFailureKind): LogResult<Value> {
  return trueMyth.Result.err({ kind, message: `The log in memory fails: ${kind}.` });
}
