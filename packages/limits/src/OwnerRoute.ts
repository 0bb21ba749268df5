import type * as clock from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as askTimes from './askTimes.js';
import * as holderHistory from './HolderHistory.js';
import type { JournalView } from './Types.js';

/** Finds whom to ask for a shard's buckets, and notices when that changes. */
export class OwnerRoute {
  public constructor(
    private readonly journalView: JournalView,
    private readonly members: holderHistory.MemberView,
    private readonly time: clock.Clock,
  ) {}

  /** Where to ask; nothing when no claim is known. */
  public addressOf(shard: number): string | undefined {
    const ownership = this.journalView.ownership(shard);
    if (!ownership || ownership.epoch === 0) return undefined;
    const { owner, standby } = ownership;
    // The standby goes on in the owner's place during an outage of the log.
    const hasEnded = holderHistory.hasHolderEnded(this.members, owner);
    return hasEnded && standby ? standby.address : owner.address;
  }

  /** Resolves when another claim of the shard is seen, or the signal aborts. */
  public untilChange(shard: number, signal: AbortSignal): Promise<void> {
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

  /** Waits for another claim, and not for long. */
  public async beforeAskingAgain(shard: number, remainingMs: clock.Milliseconds): Promise<void> {
    const stop = new AbortController();
    const span = Math.min(askTimes.ASK_AGAIN_MS, remainingMs);
    const { signal } = stop;
    await Promise.race([this.untilChange(shard, signal), this.time.sleep(span, signal)]);
    stop.abort();
  }

  /** Takes in a claim that another process has seen. */
  public learn(ownership: journal.Ownership): void {
    this.journalView.learn(ownership);
  }
}
