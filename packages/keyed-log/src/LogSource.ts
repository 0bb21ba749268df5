import type * as clock from '@limpettack/clock';
import * as readAllNewestRecords from './readAllNewestRecords.js';
import type {
  KeyedLog,
  LogResult,
  PartitionChanges,
  PartitionName,
  PartitionSource,
  PartitionState,
} from './Types.js';

/** Reads a partition directly from the log. */
export class LogSource implements PartitionSource {
  public constructor(
    private readonly log: KeyedLog,
    public readonly partition: PartitionName,
  ) {}

  /** @inheritdoc */
  public list(): Promise<LogResult<PartitionState>> {
    return readAllNewestRecords.readAllNewestRecords(this.log, this.partition);
  }

  /** @inheritdoc */
  public async readChanges(
    from: number,
    waitMs: clock.Milliseconds,
  ): Promise<LogResult<PartitionChanges>> {
    const page = await this.log.read(this.partition, from, { waitMs });
    return page.map(({ records }) => ({
      records,
      nextOffset: (records.at(-1)?.offset ?? from - 1) + 1,
    }));
  }
}
