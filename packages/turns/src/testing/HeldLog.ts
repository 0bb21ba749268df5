import type * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';

/** A log in memory whose listings are answered only once they are released. */
export class HeldLog extends keyedLogTesting.MemoryKeyedLog {
  public release: () => void = () => undefined;

  private noteListed: () => void = () => undefined;

  public readonly isListed = new Promise<void>((resolve) => {
    this.noteListed = resolve;
  });

  private readonly released = new Promise<void>((resolve) => {
    this.release = resolve;
  });

  public override async newest(
    ...[partition, after]: Parameters<keyedLog.KeyedLog['newest']>
  ): Promise<keyedLog.LogResult<keyedLog.NewestPage>> {
    const page = await super.newest(partition, after);
    this.noteListed();
    await this.released;
    return page;
  }
}
