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

/** The size of a read that names none, in bytes. */
const READ_BYTES = 1_024 * 1_024;

interface StoredPartition {
  readonly records: StoredRecord[];
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

  /** Records of a listing at most, and their size in bytes. */
  public pageSize = 500;

  public pageBytes = 1_000_000;

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
    const byKey = new Map(partition.records.map((record) => [record.key, record]));
    const records = [...byKey.values()]
      .filter(({ key, value }) => value !== undefined && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = takeBytes(records.slice(0, this.pageSize), this.pageBytes);
    return trueMyth.Result.ok({
      records: page,
      hasMore: records.length > page.length,
      endOffset: partition.records.length,
    });
  }

  /** @inheritdoc */
  public async read(
    name: PartitionName,
    from: number,
    { maximumBytes }: Partial<ReadOptions> = {},
  ): Promise<LogResult<ReadPage>> {
    this.readCount += 1;
    const failure = this.takeFailure();
    if (failure !== undefined) return fail(failure);
    const partition = this.partition(name);
    if (from < partition.firstOffset) return fail(logFailures.LOG_FAILURES.EXPIRED);
    return trueMyth.Result.ok({
      records: takeBytes(partition.records.slice(from), maximumBytes ?? READ_BYTES),
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
    records.forEach((record) =>
      partition.records.push({ ...record, offset: partition.records.length }),
    );
    return { firstOffset, endOffset: partition.records.length };
  }

  private partition(name: PartitionName): StoredPartition {
    const id = `${name.topic}/${name.partition}`;
    const known = this.partitions.get(id);
    if (known !== undefined) return known;
    const created: StoredPartition = { records: [], receipts: new Map(), firstOffset: 0 };
    this.partitions.set(id, created);
    return created;
  }

  private takeFailure(): LogFailureKind | undefined {
    return this.outage ?? this.failures.shift();
  }
}

/** The first record, and those behind it that fit. */
function takeBytes(records: readonly StoredRecord[], bytes: number): readonly StoredRecord[] {
  let size = 0;
  const end = records.findIndex(({ value }, index) => {
    size += value?.length ?? 0;
    return index > 0 && size > bytes;
  });
  return end < 0 ? records : records.slice(0, end);
}

function fail<Value>(kind: LogFailureKind): LogResult<Value> {
  return trueMyth.Result.err({ kind, message: `The log in memory fails: ${kind}.` });
}
