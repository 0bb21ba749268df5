import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';

const RETRY_MS = 1_000;

/** Number of checks for expiring records within one retention period. */
const CHECKS_PER_RETENTION = 8;

/** Fetches the log's retention and triggers regular checks for records about to expire. */
export class RetentionWatch {
  public constructor(
    private readonly log: platformClient.LogClient,
    private readonly clockSource: clock.Clock,
    private knownRetentionMs: clock.Milliseconds | undefined,
  ) {}

  /** How long the log keeps records; undefined until the log has reported it. */
  public get retentionMs(): clock.Milliseconds | undefined {
    return this.knownRetentionMs;
  }

  /** Calls `check` several times within each retention period until the signal aborts. */
  public async run(check: () => void, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.fetchRetention();
      const intervalMs =
        this.knownRetentionMs === undefined
          ? RETRY_MS
          : this.knownRetentionMs / CHECKS_PER_RETENTION;
      await this.clockSource.sleep(intervalMs, signal);
      if (!signal.aborted && this.knownRetentionMs !== undefined) check();
    }
  }

  /** Fetches the retention from the log, unless it is known already. */
  public async fetchRetention(): Promise<void> {
    if (this.knownRetentionMs !== undefined) return;
    const response = await this.log.retention();
    if (response.isOk) this.knownRetentionMs = response.value;
  }
}
