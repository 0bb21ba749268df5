import * as trueMyth from 'true-myth';
import * as keyLimit from '../keyLimit.js';
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

/** Maximum records of one listing, as the platform documents it for its store. */
const MAXIMUM_LISTED_RECORDS = 500;

/** Maximum bytes of the keys and values of one listing (1 MB), from the same documentation. */
const MAXIMUM_LISTED_BYTES = 1_048_576;

/** Maximum bytes of a read that sets no size (1,024 KB), from the same documentation. */
const DEFAULT_READ_BYTES = 1_048_576;

interface StoredPartition {
  readonly records: StoredRecord[];
  readonly newest: Map<string, StoredRecord>;
  readonly receipts: Map<string, AppendReceipt>;
  /** First offset that can be read. Listings also contain the newest record of each other key. */
  firstOffset: number;
}

/** An in-memory keyed log with fault injection, for tests. */
export class MemoryKeyedLog implements KeyedLog {
  /** Failures of the next calls; each call consumes one. */
  public readonly failures: LogFailureKind[] = [];

  /** If set, every call fails with this kind. */
  public outage: LogFailureKind | undefined;

  /** While set, appends take effect but fail with `lost`. */
  public losesAnswers = false;

  /** Maximum records of one listing. */
  public pageSize = MAXIMUM_LISTED_RECORDS;

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
    // The encoding of records throws as well.
    if (records.some(({ key }) => Buffer.byteLength(key) > keyLimit.MAXIMUM_KEY_BYTES)) {
      throw new RangeError('The key is too long.');
    }
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
    const listed = limitSize(records.slice(0, this.pageSize), MAXIMUM_LISTED_BYTES);
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
    { maximumBytes = DEFAULT_READ_BYTES }: Partial<ReadOptions> = {},
  ): Promise<LogResult<ReadPage>> {
    this.readCount += 1;
    const failure = this.takeFailure();
    if (failure !== undefined) return fail(failure);
    const partition = this.partition(name);
    if (from < partition.firstOffset) return fail(logFailures.LOG_FAILURES.EXPIRED);
    return trueMyth.Result.ok({
      records: limitSize(partition.records.slice(from), maximumBytes),
      firstOffset: partition.firstOffset,
      endOffset: partition.records.length,
    });
  }

  /** Discards the history of a partition; the newest record of each key stays available. */
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

/** Returns the longest prefix of the records within a size in bytes, at least the first record. */
function limitSize(records: readonly StoredRecord[], bytes: number): readonly StoredRecord[] {
  let total = 0;
  const firstExcluded = records.findIndex(({ key, value }, index) => {
    total += Buffer.byteLength(key) + (value?.length ?? 0);
    return index > 0 && total > bytes;
  });
  return firstExcluded < 0 ? records : records.slice(0, firstExcluded);
}

function fail<Value>(kind: LogFailureKind): LogResult<Value> {
  return trueMyth.Result.err({ kind, message: `The log in memory fails: ${kind}.` });
}
