import type * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';

/** A log in memory that holds back the responses to listings until `release` is called. */
export class PausedLog extends keyedLogTesting.MemoryKeyedLog {
  public release: () => void = () => undefined;

  private resolveListing: () => void = () => undefined;

  /** Resolves when the first listing has been read. */
  public readonly firstListing = new Promise<void>((resolve) => {
    this.resolveListing = resolve;
  });

  private readonly released = new Promise<void>((resolve) => {
    this.release = resolve;
  });

  public override async newest(
    ...[partition, after]: Parameters<keyedLog.KeyedLog['newest']>
  ): Promise<keyedLog.LogResult<keyedLog.NewestPage>> {
    const page = await super.newest(partition, after);
    this.resolveListing();
    await this.released;
    return page;
  }
}
