import type * as clock from '@limpettack/clock';
import type * as membership from '@limpettack/membership';
import * as controlRecords from './controlRecords.js';
import type * as holderWatch from './HolderWatch.js';
import type * as logStatus from './LogStatus.js';
import type * as pauseDetector from './PauseDetector.js';
import * as rankMembers from './rankMembers.js';
import type * as shardSlot from './ShardSlot.js';
import type { Ownership, ShardHolder } from './Types.js';

const TICK_MS = 100;

/** Additional delay before a claim for each member that ranks higher than this one. */
const RANK_DELAY_MS = 1_000;

/**
 * After an owner has ended, how long other VMs leave the claim to its available standby. Their rank
 * delay is added.
 */
const STANDBY_PRIORITY_MS = 10_000;

/** How long the standby waits for the named successor to claim a released shard. */
const RELEASE_STANDBY_DELAY_MS = 700;

/** How long VMs other than the named successor and the standby wait to claim a released shard. */
const RELEASE_OTHERS_DELAY_MS = 3_000;

/** Minimum time between two claims by the same owner for the same shard. */
const RENEW_INTERVAL_MS = 1_000;

/** Delay before a standby in the owner's failure domain is replaced by one in another domain. */
const DOMAIN_DELAY_MS = 10_000;

/** How long the log must be unreachable from this VM before standbys are asked to claim. */
const YIELD_DELAY_MS = 2_000;

/** Minimum time between two rounds of such requests. */
const YIELD_INTERVAL_MS = 1_000;

/** Dependencies and settings of the supervisor. */
export interface SupervisorDependencies {
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
  readonly status: logStatus.LogStatus;
  readonly watch: holderWatch.HolderWatch;
  readonly pauses: pauseDetector.PauseDetector;
  readonly hash: rankMembers.HashText;
  /** How long a holder must be unreachable before another process claims its shard. */
  readonly suspicionMs: clock.Milliseconds;
}

/** The properties and methods of a slot that the supervisor uses. */
export type ClaimableShard = Pick<
  shardSlot.ShardSlot<unknown, unknown>,
  | 'shard'
  | 'ownership'
  | 'owned'
  | 'isOwner'
  | 'isStandby'
  | 'claiming'
  | 'released'
  | 'epoch'
  | 'successor'
  | 'readToEnd'
  | 'stopFollowingIfUnneeded'
  | 'renewClaim'
  | 'takeOver'
  | 'yielded'
  | 'yieldToStandby'
>;

/** Each shard that this process does not hold is checked at least once in this number of ticks. */
const TICKS_PER_ROUND = 10;

/** Minimum number of shards that the rotation selects in each tick. */
const MINIMUM_SHARDS_PER_TICK = 32;

/** The condition that was last observed for a shard, and since when. */
interface Condition {
  readonly name: string;
  readonly since: clock.Milliseconds;
}

/** Decides which shards this process claims, and when. */
export class ClaimSupervisor {
  private readonly conditions = new Map<number, Condition>();

  private readonly renewedAt = new Map<number, clock.Milliseconds>();

  private readonly shardsBeingRead = new Set<number>();

  private isHandingOver = false;

  private yieldedAt = Number.NEGATIVE_INFINITY;

  private nextShardIndex = 0;

  public constructor(
    private readonly slots: readonly ClaimableShard[],
    private readonly dependencies: SupervisorDependencies,
  ) {}

  /** Stops all further claims, because this process is handing its shards over. */
  public stopClaiming(): void {
    this.isHandingOver = true;
  }

  /** Checks the shards in every tick until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.superviseAll();
      await this.dependencies.clock.sleep(TICK_MS, signal);
    }
  }

  /**
   * Checks the shards that this process holds, and a bounded number of the others in rotation.
   * Claims and reads that it starts continue in the background.
   */
  public superviseAll(): void {
    if (this.isHandingOver) return;
    if (!this.dependencies.status.available) {
      this.yieldOwned();
      return;
    }
    const isSelected = this.selectNextShards();
    this.slots
      .filter((slot, index) => isSelected(index) || needsEveryTick(slot))
      .forEach((slot) => this.supervise(slot));
  }

  /** Selects the next shards of the rotation, so that each shard is checked within a second. */
  private selectNextShards(): (index: number) => boolean {
    const { length } = this.slots;
    const count = Math.max(MINIMUM_SHARDS_PER_TICK, Math.ceil(length / TICKS_PER_ROUND));
    const first = this.nextShardIndex;
    this.nextShardIndex = (first + count) % Math.max(1, length);
    return (index) => (index - first + length) % length < count;
  }

  /** Asks the standbys to claim the owned shards, in case only this VM cannot reach the log. */
  private yieldOwned(): void {
    const { status, clock: clockSource } = this.dependencies;
    const now = clockSource.now();
    if (status.unchangedFor < YIELD_DELAY_MS || now - this.yieldedAt < YIELD_INTERVAL_MS) return;
    this.yieldedAt = now;
    const owned = this.slots.filter((slot) => slot.owned !== undefined);
    owned.forEach((slot) => slot.yieldToStandby().catch(() => undefined));
  }

  private supervise(slot: ClaimableShard): void {
    slot.stopFollowingIfUnneeded();
    if (slot.claiming) return;
    const { ownership } = slot;
    if (slot.isOwner) this.superviseOwned(slot);
    else if (slot.released) this.superviseReleased(slot);
    else if (ownership === undefined) this.superviseUnclaimed(slot);
    else if (slot.isStandby) this.superviseAsStandby(slot, ownership);
    else this.superviseAsOtherMember(slot, ownership);
  }

  private superviseOwned(slot: ClaimableShard): void {
    const { owned } = slot;
    if (owned === undefined) return;
    const { standby } = owned.ownership;
    const best = this.pickStandby(slot.shard);
    if (!this.needsOtherStandby(slot, standby, best)) return;
    const now = this.dependencies.clock.now();
    const renewedAt = this.renewedAt.get(slot.shard) ?? Number.NEGATIVE_INFINITY;
    if (now - renewedAt < RENEW_INTERVAL_MS) return;
    this.renewedAt.set(slot.shard, now);
    slot.renewClaim(best && controlRecords.holderOf(best)).catch(() => undefined);
  }

  private needsOtherStandby(
    slot: ClaimableShard,
    standby: ShardHolder | undefined,
    best: membership.Member | undefined,
  ): boolean {
    if (standby === undefined) return best !== undefined;
    const { watch, suspicionMs, membership: members } = this.dependencies;
    if (watch.unreachableFor(standby) >= suspicionMs) return true;
    if (watch.isLeaving(standby)) return best !== undefined;
    const { failureDomain } = members.self;
    const isInSameDomain = members.find(standby.name)?.failureDomain === failureDomain;
    if (!isInSameDomain || best === undefined || best.failureDomain === failureDomain) return false;
    return this.conditionDurationMs(slot, 'same-domain') >= DOMAIN_DELAY_MS;
  }

  private superviseReleased(slot: ClaimableShard): void {
    const durationMs = this.conditionDurationMs(slot, `released-${slot.epoch}`);
    const isSuccessor = slot.successor === this.dependencies.membership.self.name;
    const delay = slot.isStandby ? RELEASE_STANDBY_DELAY_MS : RELEASE_OTHERS_DELAY_MS;
    if (isSuccessor || durationMs >= delay) this.takeOver(slot, slot.epoch);
  }

  private superviseUnclaimed(slot: ClaimableShard): void {
    const durationMs = this.conditionDurationMs(slot, 'unclaimed');
    if (durationMs < this.rankOfSelf(slot.shard) * RANK_DELAY_MS) return;
    this.readAndClaim(slot).catch(() => undefined);
  }

  private async readAndClaim(slot: ClaimableShard): Promise<void> {
    if (this.shardsBeingRead.has(slot.shard)) return;
    this.shardsBeingRead.add(slot.shard);
    // Reading finds the current epoch. It is above zero if the claim has expired but later records
    // of its epoch have not.
    const hasRead = await slot.readToEnd();
    this.shardsBeingRead.delete(slot.shard);
    if (hasRead && slot.ownership === undefined) this.takeOver(slot, slot.epoch);
  }

  private superviseAsStandby(slot: ClaimableShard, { owner, epoch }: Ownership): void {
    const { watch, suspicionMs } = this.dependencies;
    const isOwnerUnreachable = watch.unreachableFor(owner) >= suspicionMs;
    if (slot.yielded || isOwnerUnreachable) this.takeOver(slot, epoch);
  }

  private superviseAsOtherMember(slot: ClaimableShard, { owner, standby, epoch }: Ownership): void {
    const { watch, suspicionMs } = this.dependencies;
    if (watch.isConsideredAvailable(owner)) return;
    const rankDelay = (this.rankOfSelf(slot.shard) + 1) * RANK_DELAY_MS;
    if (standby !== undefined && watch.isConsideredAvailable(standby)) {
      // Otherwise the shard would have no owner if its standby cannot reach the log.
      const durationMs = this.conditionDurationMs(slot, `abandoned-${epoch}`);
      const isAbandoned = watch.hasEnded(owner) && durationMs >= STANDBY_PRIORITY_MS + rankDelay;
      if (isAbandoned) this.takeOver(slot, epoch);
      return;
    }
    const unreachableDurations = [owner, standby].map(
      (holder) => holder && watch.unreachableFor(holder),
    );
    if (unreachableDurations.some((duration) => duration !== undefined && duration < suspicionMs))
      return;
    if (this.conditionDurationMs(slot, `both-unreachable-${epoch}`) >= rankDelay)
      this.takeOver(slot, epoch);
  }

  private takeOver(slot: ClaimableShard, epoch: number): void {
    if (this.isHandingOver || slot.claiming) return;
    const standby = this.pickStandby(slot.shard);
    slot.takeOver(epoch, standby && controlRecords.holderOf(standby)).catch(() => undefined);
  }

  private pickStandby(shard: number): membership.Member | undefined {
    const { membership: members, hash } = this.dependencies;
    return rankMembers.pickStandby(shard, members.self, members.available(), hash);
  }

  private rankOfSelf(shard: number): number {
    const { membership: members, hash } = this.dependencies;
    const ranked = rankMembers.rankMembers(shard, members.available(), hash);
    const rank = ranked.findIndex((member) => member.name === members.self.name);
    return rank === -1 ? ranked.length : rank;
  }

  /**
   * Returns for how long, in milliseconds, the named condition has held for the shard without
   * interruption. Another condition, or a pause of this process, restarts the count.
   */
  private conditionDurationMs(slot: ClaimableShard, name: string): clock.Milliseconds {
    const { clock: clockSource, pauses } = this.dependencies;
    const now = clockSource.now();
    const known = this.conditions.get(slot.shard);
    if (known?.name === name && !pauses.hasPausedSince(known.since)) return now - known.since;
    this.conditions.set(slot.shard, { name, since: now });
    return 0;
  }
}

/** Whether the shard is checked in every tick, because this process holds it or may claim it. */
function needsEveryTick(slot: ClaimableShard): boolean {
  return slot.isOwner || slot.isStandby || slot.released;
}
