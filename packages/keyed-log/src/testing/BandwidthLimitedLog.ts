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

/** Time that the log takes to respond, excluding the transfer over the link, in milliseconds. */
const RESPONSE_MS = 4;

/** Listings are transferred as Base64, which takes four bytes for three. */
const LISTING_ENCODING_FACTOR = 4 / 3;

/** A log behind a link of limited bandwidth, which all reads and listings of a process share. */
export class BandwidthLimitedLog implements KeyedLog {
  private linkFreeAt = 0;

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
    if (result.isOk) await this.transfer(LISTING_ENCODING_FACTOR * sizeOf(result.value.records));
    return result;
  }

  /** @inheritdoc */
  public async read(
    partition: PartitionName,
    from: number,
    options: ReadOptions,
  ): Promise<LogResult<ReadPage>> {
    const result = await this.log.read(partition, from, options);
    if (result.isOk) await this.transfer(sizeOf(result.value.records));
    return result;
  }

  /** Resolves when a response of this size has been transferred, after all earlier ones. */
  private async transfer(bytes: number): Promise<void> {
    const now = performance.now();
    this.linkFreeAt = Math.max(this.linkFreeAt, now + RESPONSE_MS) + bytes / this.bytesPerMs;
    await new Promise((resolve) => {
      setTimeout(resolve, this.linkFreeAt - now);
    });
  }
}

function sizeOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}
