import type {
  AppendOptions,
  AppendReceipt,
  KeyedLog,
  KeyedRecord,
  LogResult,
  NewestPage,
  PartitionName,
  ReadOptions,
  ReadPage,
} from '../Types.js';

/** The time that the log takes for a call beside the link, in milliseconds. */
const ANSWER_MS = 4;

/** Listings come as text: Base64 takes four bytes for three. */
const LISTING_FACTOR = 4 / 3;

/** A log as one process reaches it over a link of a limited rate, which all its calls share. */
export class LinkedLog implements KeyedLog {
  private freeAt = 0;

  public constructor(
    private readonly log: KeyedLog,
    private readonly bytesPerMs: number,
  ) {}

  /** @inheritdoc */
  public append(
    partition: PartitionName,
    records: readonly KeyedRecord[],
    options: AppendOptions,
  ): Promise<LogResult<AppendReceipt>> {
    return this.log.append(partition, records, options);
  }

  /** @inheritdoc */
  public async newest(partition: PartitionName, after?: string): Promise<LogResult<NewestPage>> {
    const result = await this.log.newest(partition, after);
    if (result.isOk) await this.carry(LISTING_FACTOR * sizeOf(result.value.records));
    return result;
  }

  /** @inheritdoc */
  public async read(
    partition: PartitionName,
    from: number,
    options: ReadOptions,
  ): Promise<LogResult<ReadPage>> {
    const result = await this.log.read(partition, from, options);
    if (result.isOk) await this.carry(sizeOf(result.value.records));
    return result;
  }

  /** Resolves when an answer of this size has come over the link, behind those before it. */
  private async carry(bytes: number): Promise<void> {
    const now = performance.now();
    this.freeAt = Math.max(this.freeAt, now + ANSWER_MS) + bytes / this.bytesPerMs;
    await new Promise((resolve) => {
      setTimeout(resolve, this.freeAt - now);
    });
  }
}

function sizeOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}
