import type * as clock from '@limpettack/clock';
import type * as keyedLog from '@limpettack/keyed-log';

/** A log whose listings are delayed. */
export class SlowLog implements keyedLog.KeyedLog {
  /** Response time of a listing. */
  public responseMs: clock.Milliseconds = 0;

  public readonly append: keyedLog.KeyedLog['append'];

  public readonly read: keyedLog.KeyedLog['read'];

  public constructor(
    private readonly log: keyedLog.KeyedLog,
    private readonly time: clock.Clock,
  ) {
    this.append = log.append.bind(log);
    this.read = log.read.bind(log);
  }

  /** @inheritdoc */
  public async newest(
    partition: keyedLog.PartitionName,
    after?: string,
  ): Promise<keyedLog.LogResult<keyedLog.NewestPage>> {
    if (this.responseMs > 0) await this.time.sleep(this.responseMs);
    return this.log.newest(partition, after);
  }
}
