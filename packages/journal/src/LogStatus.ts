import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as platformClient from '@limpettack/platform-client';

/** Time between two probes of a log that is down. */
const PROBE_INTERVAL_MS = 100;
const FIRST_PROBE_MS = 20;

/**
 * Tracks whether the log is available. The log is treated as down from the first failure that shows
 * an outage until a call succeeds. While it is down, a single task probes it, so that callers do
 * not have to wait for timeouts.
 */
export class LogStatus {
  private readonly changes = new lifetime.Emitter<boolean>();

  private isUp = true;

  private changedAt: clock.Milliseconds;

  public readonly onChange = this.changes.event;

  public constructor(
    private readonly log: platformClient.LogClient,
    private readonly clockSource: clock.Clock,
    private readonly probeStream: string,
    private readonly signal: AbortSignal,
  ) {
    this.changedAt = clockSource.now();
  }

  /** Whether the log is up, as far as this process knows. */
  public get available(): boolean {
    return this.isUp;
  }

  /** Time since the log last went up or down, in milliseconds. */
  public get unchangedFor(): clock.Milliseconds {
    return this.clockSource.now() - this.changedAt;
  }

  /** Reports that a call has succeeded. */
  public markUp(): void {
    if (!this.isUp) this.change(true);
  }

  /** Reports that a call has failed in a way that shows an outage. */
  public markDown(): void {
    if (!this.isUp || this.signal.aborted) return;
    this.change(false);
    this.probe().catch(() => undefined);
  }

  /** Resolves when the log is up, or when the signal aborts. */
  public whenUp(signal: AbortSignal): Promise<void> {
    if (this.isUp || signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const subscription = this.changes.event(finish);
      function finish(): void {
        subscription.dispose();
        signal.removeEventListener('abort', finish);
        resolve();
      }
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  private change(isUp: boolean): void {
    this.isUp = isUp;
    this.changedAt = this.clockSource.now();
    this.changes.fire(isUp);
  }

  private async probe(): Promise<void> {
    await this.clockSource.sleep(FIRST_PROBE_MS, this.signal);
    while (!this.isUp && !this.signal.aborted) {
      const page = await this.log.read(this.probeStream, 0, { limit: 1, waitMs: 0 });
      const isReachable = page.isOk || page.error.kind === 'expired';
      if (isReachable) this.markUp();
      else await this.clockSource.sleep(PROBE_INTERVAL_MS, this.signal);
    }
  }
}
