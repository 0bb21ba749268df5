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

/**
 * A log that stops responding: calls made while `isSilent` is set never end, as on connections that
 * a partition holds up.
 */
export class SilentLog implements KeyedLog {
  public isSilent = false;

  public constructor(private readonly log: KeyedLog) {}

  /** @inheritdoc */
  public append(
    partition: PartitionName,
    records: readonly KeyedRecord[],
    options: AppendOptions,
  ): Promise<LogResult<AppendReceipt>> {
    return this.call(() => this.log.append(partition, records, options));
  }

  /** @inheritdoc */
  public newest(partition: PartitionName, after?: string): Promise<LogResult<NewestPage>> {
    return this.call(() => this.log.newest(partition, after));
  }

  /** @inheritdoc */
  public read(
    partition: PartitionName,
    from: number,
    options: ReadOptions,
  ): Promise<LogResult<ReadPage>> {
    return this.call(() => this.log.read(partition, from, options));
  }

  private call<Value>(send: () => Promise<Value>): Promise<Value> {
    return this.isSilent ? new Promise(() => {}) : send();
  }
}
