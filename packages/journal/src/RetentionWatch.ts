import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';

const RETRY_MS = 1_000;

/** Parts of the retention after which an owner looks for expiring records. */
const CHECKS = 8;

/** Knows how long the log keeps records, and when to look for those about to expire. */
export class RetentionWatch {
  public constructor(
    private readonly log: platformClient.LogClient,
    private readonly clockSource: clock.Clock,
    private known: clock.Milliseconds | undefined,
  ) {}

  /** How long the log keeps records; nothing before the log has said so. */
  public get retentionMs(): clock.Milliseconds | undefined {
    return this.known;
  }

  /** Calls back several times within each retention until the signal aborts. */
  public async run(check: () => void, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.ask();
      const span = this.known === undefined ? RETRY_MS : this.known / CHECKS;
      await this.clockSource.sleep(span, signal);
      if (!signal.aborted && this.known !== undefined) check();
    }
  }

  /** Asks the log, unless it is known already. */
  public async ask(): Promise<void> {
    if (this.known !== undefined) return;
    const answer = await this.log.retention();
    if (answer.isOk) this.known = answer.value;
  }
}
