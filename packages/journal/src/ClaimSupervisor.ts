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

/** Time by which each further member in the ranking waits longer before it claims. */
const RANK_DELAY_MS = 1_000;

/** How long a shard whose owner has ended is left to its standby. */
const IDLE_STANDBY_MS = 10_000;

/** How long the others leave a released shard to the successor. */
const RELEASE_STANDBY_DELAY_MS = 700;
const RELEASE_OWNER_DELAY_MS = 3_000;

/** Least time between two claims of one owner for one shard. */
const RENEW_INTERVAL_MS = 1_000;

/** How long a standby in the owner's failure domain is kept when there is a better one. */
const DOMAIN_DELAY_MS = 10_000;

/** How long the log must be out of reach here before the standbys are asked to claim. */
const YIELD_DELAY_MS = 2_000;
const YIELD_INTERVAL_MS = 1_000;

/** What the supervisor needs from the process. */
export interface SupervisorCollaborators {
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
  readonly status: logStatus.LogStatus;
  readonly watch: holderWatch.HolderWatch;
  readonly pauses: pauseDetector.PauseDetector;
  readonly hash: rankMembers.HashText;
  /** How long a holder must be out of reach before others act. */
  readonly suspicionMs: clock.Milliseconds;
}

/** The part of a slot that claims go by. */
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
  | 'look'
  | 'leaveUnlessHeld'
  | 'renewClaim'
  | 'takeOver'
  | 'yielded'
  | 'yieldToStandby'
>;

/** Ticks in which each shard that this process does not hold is looked at once. */
const TICKS_PER_TURN = 10;

/** Such shards that are looked at in each tick at least. */
const LEAST_IN_TURN = 32;

interface Condition {
  readonly name: string;
  readonly since: clock.Milliseconds;
}

/** Decides which shards this process claims, and when. */
export class ClaimSupervisor {
  private readonly conditions = new Map<number, Condition>();

  private readonly renewedAt = new Map<number, clock.Milliseconds>();

  private readonly looking = new Set<number>();

  private isHandingOver = false;

  private yieldedAt = Number.NEGATIVE_INFINITY;

  private nextInTurn = 0;

  public constructor(
    private readonly slots: readonly ClaimableShard[],
    private readonly collaborators: SupervisorCollaborators,
  ) {}

  /** Ends all claims, since this process hands its shards over. */
  public stopClaiming(): void {
    this.isHandingOver = true;
  }

  /** Looks at all shards until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.superviseAll();
      await this.collaborators.clock.sleep(TICK_MS, signal);
    }
  }

  /**
   * Looks at the shards that this process holds, and in turn at a bounded number of the others.
   * What it starts goes on by itself.
   */
  public superviseAll(): void {
    if (this.isHandingOver) return;
    if (!this.collaborators.status.available) {
      this.yieldOwned();
      return;
    }
    const inTurn = this.takeInTurn();
    this.slots
      .filter((slot, index) => inTurn(index) || isHeld(slot))
      .forEach((slot) => this.supervise(slot));
  }

  /** Picks the indices of the next shards in turn, so that each is looked at within a second. */
  private takeInTurn(): (index: number) => boolean {
    const { length } = this.slots;
    const count = Math.max(LEAST_IN_TURN, Math.ceil(length / TICKS_PER_TURN));
    const first = this.nextInTurn;
    this.nextInTurn = (first + count) % Math.max(1, length);
    return (index) => (index - first + length) % length < count;
  }

  /** When only this VM has lost the log, its standbys can claim what it owns. */
  private yieldOwned(): void {
    const { status, clock: clockSource } = this.collaborators;
    const now = clockSource.now();
    if (status.unchangedFor < YIELD_DELAY_MS || now - this.yieldedAt < YIELD_INTERVAL_MS) return;
    this.yieldedAt = now;
    const owned = this.slots.filter((slot) => slot.owned !== undefined);
    owned.forEach((slot) => slot.yieldToStandby().catch(() => undefined));
  }

  private supervise(slot: ClaimableShard): void {
    slot.leaveUnlessHeld();
    if (slot.claiming) return;
    const { ownership } = slot;
    if (slot.isOwner) this.tendOwned(slot);
    else if (slot.released) this.superviseReleased(slot);
    else if (ownership === undefined) this.superviseUnclaimed(slot);
    else if (slot.isStandby) this.superviseAsStandby(slot, ownership);
    else this.superviseForeign(slot, ownership);
  }

  private tendOwned(slot: ClaimableShard): void {
    const { owned } = slot;
    if (owned === undefined) return;
    const { standby } = owned.ownership;
    const best = this.pickStandby(slot.shard);
    if (!this.wantsOther(slot, standby, best)) return;
    const now = this.collaborators.clock.now();
    const renewedAt = this.renewedAt.get(slot.shard) ?? Number.NEGATIVE_INFINITY;
    if (now - renewedAt < RENEW_INTERVAL_MS) return;
    this.renewedAt.set(slot.shard, now);
    slot.renewClaim(best && controlRecords.holderOf(best)).catch(() => undefined);
  }

  private wantsOther(
    slot: ClaimableShard,
    standby: ShardHolder | undefined,
    best: membership.Member | undefined,
  ): boolean {
    if (standby === undefined) return best !== undefined;
    const { watch, suspicionMs, membership: members } = this.collaborators;
    if (watch.unreachableFor(standby) >= suspicionMs) return true;
    if (watch.isLeaving(standby)) return best !== undefined;
    const { failureDomain } = members.self;
    const isNear = members.find(standby.name)?.failureDomain === failureDomain;
    if (!isNear || best === undefined || best.failureDomain === failureDomain) return false;
    return this.heldFor(slot, 'same-domain') >= DOMAIN_DELAY_MS;
  }

  private superviseReleased(slot: ClaimableShard): void {
    const span = this.heldFor(slot, `released-${slot.epoch}`);
    const isSuccessor = slot.successor === this.collaborators.membership.self.name;
    const delay = slot.isStandby ? RELEASE_STANDBY_DELAY_MS : RELEASE_OWNER_DELAY_MS;
    if (isSuccessor || span >= delay) this.takeOver(slot, slot.epoch);
  }

  private superviseUnclaimed(slot: ClaimableShard): void {
    const span = this.heldFor(slot, 'unclaimed');
    if (span < this.rankOfSelf(slot.shard) * RANK_DELAY_MS) return;
    this.lookAndClaim(slot).catch(() => undefined);
  }

  private async lookAndClaim(slot: ClaimableShard): Promise<void> {
    if (this.looking.has(slot.shard)) return;
    this.looking.add(slot.shard);
    // The look tells the epoch, which is not zero when only the claim itself has expired.
    const hasLooked = await slot.look();
    this.looking.delete(slot.shard);
    if (hasLooked && slot.ownership === undefined) this.takeOver(slot, slot.epoch);
  }

  private superviseAsStandby(slot: ClaimableShard, { owner, epoch }: Ownership): void {
    const { watch, suspicionMs } = this.collaborators;
    const isGone = watch.unreachableFor(owner) >= suspicionMs;
    if (slot.yielded || isGone) this.takeOver(slot, epoch);
  }

  private superviseForeign(slot: ClaimableShard, { owner, standby, epoch }: Ownership): void {
    const { watch, suspicionMs } = this.collaborators;
    if (watch.isThoughtAvailable(owner)) return;
    const rankDelay = (this.rankOfSelf(slot.shard) + 1) * RANK_DELAY_MS;
    if (standby !== undefined && watch.isThoughtAvailable(standby)) {
      // A standby that cannot reach the log leaves the shard without an owner.
      const span = this.heldFor(slot, `left-${epoch}`);
      const isLeft = watch.hasEnded(owner) && span >= IDLE_STANDBY_MS + rankDelay;
      if (isLeft) this.takeOver(slot, epoch);
      return;
    }
    const spans = [owner, standby].map((holder) => holder && watch.unreachableFor(holder));
    if (spans.some((span) => span !== undefined && span < suspicionMs)) return;
    if (this.heldFor(slot, `both-gone-${epoch}`) >= rankDelay) this.takeOver(slot, epoch);
  }

  private takeOver(slot: ClaimableShard, epoch: number): void {
    if (this.isHandingOver || slot.claiming) return;
    const standby = this.pickStandby(slot.shard);
    slot.takeOver(epoch, standby && controlRecords.holderOf(standby)).catch(() => undefined);
  }

  private pickStandby(shard: number): membership.Member | undefined {
    const { membership: members, hash } = this.collaborators;
    return rankMembers.pickStandby(shard, members.self, members.available(), hash);
  }

  private rankOfSelf(shard: number): number {
    const { membership: members, hash } = this.collaborators;
    const ranked = rankMembers.rankMembers(shard, members.available(), hash);
    const rank = ranked.findIndex((member) => member.name === members.self.name);
    return rank === -1 ? ranked.length : rank;
  }

  /** For how long, in milliseconds, the named condition has been the shard's latest one. */
  private heldFor(slot: ClaimableShard, name: string): clock.Milliseconds {
    const { clock: clockSource, pauses } = this.collaborators;
    const now = clockSource.now();
    const known = this.conditions.get(slot.shard);
    if (known?.name === name && !pauses.hasPausedSince(known.since)) return now - known.since;
    this.conditions.set(slot.shard, { name, since: now });
    return 0;
  }
}

/** Whether what becomes of the shard now is this process's own concern. */
function isHeld(slot: ClaimableShard): boolean {
  return slot.isOwner || slot.isStandby || slot.released;
}
