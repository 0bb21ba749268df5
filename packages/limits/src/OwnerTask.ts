import type * as clock from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import type * as soloAgreement from './SoloAgreement.js';
import type * as bucketOwner from './BucketOwner.js';
import * as holderHistory from './HolderHistory.js';
import * as messages from './messages.js';
import type { Holder } from './messages.js';
import type * as shardLimits from './ShardLimits.js';
import type { JournalView } from './Types.js';

const REPLICATE_TIMEOUT_MS = 500;
const RELEASE_TIMEOUT_MS = 500;
const INITIAL_RETRY_MS = 25;
const MAXIMUM_RETRY_MS = 500;

/** Interval at which newly accrued tokens are granted to waiting requests. */
const GRANT_INTERVAL_MS = 5;

/** Dependencies and settings of the task of an owned shard. */
export interface OwnerTaskOptions {
  readonly shard: number;
  readonly limits: shardLimits.ShardLimits;
  readonly owner: bucketOwner.BucketOwner;
  readonly network: Pick<wire.PeerNetwork, 'request'>;
  readonly members: holderHistory.MemberView;
  readonly journal: Pick<JournalView, 'isLogAvailable'>;
  readonly agreement: soloAgreement.SoloAgreement;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly signal: AbortSignal;
  /**
   * The claim that makes this process the owner. Undefined if it is a standby that replaces the
   * owner.
   */
  readonly ownership: journal.Ownership | undefined;
}

/**
 * Replicates an owned shard to its standby, asks earlier holders to stop granting, and grants
 * accrued tokens to waiting requests.
 */
export class OwnerTask {
  public constructor(private readonly options: OwnerTaskOptions) {}

  /** Runs until the shard is no longer owned or the signal aborts. */
  public async run(): Promise<void> {
    const tasks = [this.replicate(), this.releaseEarlierHolders(), this.grantWaiting()];
    await Promise.all(tasks);
  }

  private get isFinished(): boolean {
    return this.options.signal.aborted || this.options.limits.owner !== this.options.owner;
  }

  private async replicate(): Promise<void> {
    const { owner, signal, clock: time } = this.options;
    const { standby } = owner;
    let retryMs = INITIAL_RETRY_MS;
    while (standby && !this.isFinished && !owner.isSolo) {
      if (!owner.isDirty) {
        await this.waitForChange();
        continue;
      }
      if (await this.replicateOnce(standby)) {
        retryMs = INITIAL_RETRY_MS;
        continue;
      }
      await this.considerSoloMode(standby);
      await time.sleep(retryMs, signal);
      retryMs = Math.min(MAXIMUM_RETRY_MS, 2 * retryMs);
    }
  }

  private async replicateOnce(standby: Holder): Promise<boolean> {
    const { owner, network, limits } = this.options;
    const request = owner.createReplication();
    const options = { timeoutMs: REPLICATE_TIMEOUT_MS };
    const result = await network.request(standby.address, messages.REPLICATE, request, options);
    if (result.isOk && result.value.accepted) {
      owner.applyAcknowledgement(request, result.value);
      return true;
    }
    if (result.isOk) limits.observe(result.value.knownEpoch);
    owner.requeueReplication(request);
    return false;
  }

  /** While the log is unavailable, the owner continues in solo mode if its standby has ended. */
  private async considerSoloMode(standby: Holder): Promise<void> {
    const { owner, limits, members, journal, agreement, logger, shard } = this.options;
    const isSurvivor = holderHistory.hasHolderEnded(members, standby) && !journal.isLogAvailable();
    if (!isSurvivor || this.isFinished) return;
    const isAgreed = await agreement.obtain(shard, owner.epoch);
    if (!isAgreed || this.isFinished || limits.knownEpoch !== owner.epoch) return;
    logger.warn('The shard continues without its standby.', { shard, epoch: owner.epoch });
    owner.enterSoloMode(true);
  }

  private async releaseEarlierHolders(): Promise<void> {
    const { owner, signal, clock: time } = this.options;
    let retryMs = INITIAL_RETRY_MS;
    while (!this.isFinished && owner.unreleasedEntries.length > 0) {
      const holders = new Map(
        owner.unreleasedEntries.map(({ holder }) => [holderHistory.keyOf(holder), holder]),
      );
      await Promise.all([...holders.values()].map((holder) => this.release(holder)));
      if (owner.unreleasedEntries.length === 0) break;
      await time.sleep(retryMs, signal);
      retryMs = Math.min(MAXIMUM_RETRY_MS, 2 * retryMs);
    }
    // An owner without a standby enters solo mode once no earlier holder can grant any more.
    if (!this.isFinished && !owner.standby) owner.enterSoloMode(false);
  }

  /** Grants tokens to waiting requests as the tokens accrue. */
  private async grantWaiting(): Promise<void> {
    const { owner, signal, clock: time } = this.options;
    while (!this.isFinished) {
      if (!owner.hasWaiting) {
        await this.waitForChange();
        continue;
      }
      await time.sleep(GRANT_INTERVAL_MS, signal);
      owner.grantWaiting();
    }
  }

  private async release(holder: Holder): Promise<void> {
    const { owner, limits, network, members, shard } = this.options;
    if (holderHistory.hasHolderEnded(members, holder)) {
      limits.recordRelease(holder);
      return;
    }
    const { ownership } = this.options;
    const request = { shard, epoch: owner.epoch, ...(ownership ? { ownership } : {}) };
    const options = { timeoutMs: RELEASE_TIMEOUT_MS };
    const result = await network.request(holder.address, messages.RELEASE, request, options);
    if (result.isErr || this.isFinished) return;
    const { name, incarnation, knownEpoch, state } = result.value;
    limits.observe(knownEpoch);
    if (this.isFinished || name !== holder.name || incarnation < holder.incarnation) return;
    if (state) limits.adopt(state, holder);
    limits.recordRelease(holder);
  }

  private waitForChange(): Promise<void> {
    const { owner, signal } = this.options;
    return new Promise((resolve) => {
      const subscription = owner.changed.event(finish);
      signal.addEventListener('abort', finish, { once: true });
      function finish(): void {
        subscription.dispose();
        signal.removeEventListener('abort', finish);
        resolve();
      }
    });
  }
}
