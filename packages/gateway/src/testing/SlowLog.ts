import type * as clock from '@limpettack/clock';
import type * as keyedLog from '@limpettack/keyed-log';

/** A log whose listings take their time. */
export class SlowLog implements keyedLog.KeyedLog {
  /** Time for the answer to a listing. */
  public answerMs: clock.Milliseconds = 0;

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
    if (this.answerMs > 0) await this.time.sleep(this.answerMs);
    return this.log.newest(partition, after);
  }
}
