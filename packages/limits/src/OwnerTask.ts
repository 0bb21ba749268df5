import type * as clock from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import type * as aloneAgreement from './AloneAgreement.js';
import type * as bucketOwner from './BucketOwner.js';
import * as holderHistory from './HolderHistory.js';
import * as messages from './messages.js';
import type { Holder } from './messages.js';
import type * as shardLimits from './ShardLimits.js';
import type { JournalView } from './Types.js';

const REPLICATE_TIMEOUT_MS = 500;
const RELEASE_TIMEOUT_MS = 500;
const FIRST_RETRY_MS = 25;
const LONGEST_RETRY_MS = 500;

/** How often waiting requests get the tokens that have come. */
const SERVE_INTERVAL_MS = 5;

/** What the task of an owned shard needs. */
export interface OwnerTaskOptions {
  readonly shard: number;
  readonly limits: shardLimits.ShardLimits;
  readonly owner: bucketOwner.BucketOwner;
  readonly network: Pick<wire.PeerNetwork, 'request'>;
  readonly members: holderHistory.MemberView;
  readonly journal: Pick<JournalView, 'isLogAvailable'>;
  readonly agreement: aloneAgreement.AloneAgreement;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly signal: AbortSignal;
  /** The claim that makes this process the owner; absent when it acts in the owner's place. */
  readonly ownership: journal.Ownership | undefined;
}

/** Keeps the standby of one owned shard up to date and asks earlier holders to stop. */
export class OwnerTask {
  public constructor(private readonly options: OwnerTaskOptions) {}

  /** Runs until the shard is owned no more or the signal aborts. */
  public async run(): Promise<void> {
    const tasks = [this.replicate(), this.releaseEarlierHolders(), this.serveWaiting()];
    await Promise.all(tasks);
  }

  private get isOver(): boolean {
    return this.options.signal.aborted || this.options.limits.owner !== this.options.owner;
  }

  private async replicate(): Promise<void> {
    const { owner, signal, clock: time } = this.options;
    const { standby } = owner;
    let retryMs = FIRST_RETRY_MS;
    while (standby && !this.isOver && !owner.isAlone) {
      if (!owner.isDirty) {
        await this.untilChanged();
        continue;
      }
      if (await this.replicateOnce(standby)) {
        retryMs = FIRST_RETRY_MS;
        continue;
      }
      await this.considerGoingAlone(standby);
      await time.sleep(retryMs, signal);
      retryMs = Math.min(LONGEST_RETRY_MS, 2 * retryMs);
    }
  }

  private async replicateOnce(standby: Holder): Promise<boolean> {
    const { owner, network, limits } = this.options;
    const request = owner.takeReplication();
    const options = { timeoutMs: REPLICATE_TIMEOUT_MS };
    const result = await network.request(standby.address, messages.REPLICATE, request, options);
    if (result.isOk && result.value.accepted) {
      owner.applyAcknowledgement(request, result.value);
      return true;
    }
    if (result.isOk) limits.observe(result.value.knownEpoch);
    owner.repeatReplication(request);
    return false;
  }

  /** During an outage of the log the survivor of a pair goes on when the other has ended. */
  private async considerGoingAlone(standby: Holder): Promise<void> {
    const { owner, limits, members, journal, agreement, logger, shard } = this.options;
    const isSurvivor = holderHistory.hasHolderEnded(members, standby) && !journal.isLogAvailable();
    if (!isSurvivor || this.isOver) return;
    const isAgreed = await agreement.seek(shard, owner.epoch);
    if (!isAgreed || this.isOver || limits.knownEpoch !== owner.epoch) return;
    logger.warn('The shard goes on without its standby.', { shard, epoch: owner.epoch });
    owner.goAlone(true);
  }

  private async releaseEarlierHolders(): Promise<void> {
    const { owner, signal, clock: time } = this.options;
    let retryMs = FIRST_RETRY_MS;
    while (!this.isOver && owner.heldEntries.length > 0) {
      const holders = new Map(
        owner.heldEntries.map(({ holder }) => [holderHistory.keyOf(holder), holder]),
      );
      await Promise.all([...holders.values()].map((holder) => this.release(holder)));
      if (owner.heldEntries.length === 0) break;
      await time.sleep(retryMs, signal);
      retryMs = Math.min(LONGEST_RETRY_MS, 2 * retryMs);
    }
    // A claim without a standby counts alone once no earlier holder can grant any more.
    if (!this.isOver && !owner.standby) owner.goAlone(false);
  }

  /** Requests that wait for tokens get them as they come. */
  private async serveWaiting(): Promise<void> {
    const { owner, signal, clock: time } = this.options;
    while (!this.isOver) {
      if (!owner.hasWaiting) {
        await this.untilChanged();
        continue;
      }
      await time.sleep(SERVE_INTERVAL_MS, signal);
      owner.serveWaiting();
    }
  }

  private async release(holder: Holder): Promise<void> {
    const { owner, limits, network, members, shard } = this.options;
    if (holderHistory.hasHolderEnded(members, holder)) {
      limits.dropHeld(holder);
      return;
    }
    const { ownership } = this.options;
    const request = { shard, epoch: owner.epoch, ...(ownership ? { ownership } : {}) };
    const options = { timeoutMs: RELEASE_TIMEOUT_MS };
    const result = await network.request(holder.address, messages.RELEASE, request, options);
    if (result.isErr || this.isOver) return;
    const { name, incarnation, knownEpoch, state } = result.value;
    limits.observe(knownEpoch);
    if (this.isOver || name !== holder.name || incarnation < holder.incarnation) return;
    if (state) limits.adopt(state, holder);
    limits.dropHeld(holder);
  }

  private untilChanged(): Promise<void> {
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
