import type * as clock from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as grantTimings from './grantTimings.js';
import * as holderHistory from './HolderHistory.js';
import type { JournalView } from './Types.js';

/** Finds the process that serves a shard's buckets, and detects when it changes. */
export class OwnerLocator {
  public constructor(
    private readonly journalView: JournalView,
    private readonly members: holderHistory.MemberView,
    private readonly time: clock.Clock,
  ) {}

  /** Returns the address to send requests to, or undefined when no claim is known. */
  public addressOf(shard: number): string | undefined {
    const ownership = this.journalView.ownership(shard);
    if (!ownership || ownership.epoch === 0) return undefined;
    const { owner, standby } = ownership;
    // The standby replaces an owner that has ended while the log is unavailable.
    const hasEnded = holderHistory.hasHolderEnded(this.members, owner);
    return hasEnded && standby ? standby.address : owner.address;
  }

  /** Resolves when a new claim of the shard is seen or the signal aborts. */
  public waitForChange(shard: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const subscription = this.journalView.onOwnershipChange((change) => {
        if (change.shard === shard) finish();
      });
      signal.addEventListener('abort', finish, { once: true });
      function finish(): void {
        subscription.dispose();
        signal.removeEventListener('abort', finish);
        resolve();
      }
    });
  }

  /** Waits until a new claim is seen, but no longer than the retry interval or `remainingMs`. */
  public async waitBeforeRetry(shard: number, remainingMs: clock.Milliseconds): Promise<void> {
    const stop = new AbortController();
    const delayMs = Math.min(grantTimings.RETRY_INTERVAL_MS, remainingMs);
    const { signal } = stop;
    await Promise.race([this.waitForChange(shard, signal), this.time.sleep(delayMs, signal)]);
    stop.abort();
  }

  /** Passes a claim that another process has seen to the journal. */
  public learn(ownership: journal.Ownership): void {
    this.journalView.learn(ownership);
  }
}
