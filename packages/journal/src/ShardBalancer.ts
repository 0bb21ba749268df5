import type * as clock from '@limpettack/clock';
import type * as membership from '@limpettack/membership';
import * as controlRecords from './controlRecords.js';
import * as rankMembers from './rankMembers.js';
import type * as shardSlot from './ShardSlot.js';

/** Shards above the even share that a VM keeps. */
const TOLERANCE = 1;

/** What the balancer needs from the process. */
export interface BalancerCollaborators {
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
  readonly hash: rankMembers.HashText;
  readonly intervalMs: clock.Milliseconds;
}

/** The part of a slot that balancing goes by. */
export type BalancedShard = Pick<
  shardSlot.ShardSlot<unknown, unknown>,
  'shard' | 'ownership' | 'owned' | 'renewClaim' | 'release'
>;

/**
 * Hands shards to other VMs when this one has clearly more than its share, one at a time. The
 * receiver is made the standby first, so that it has the state when it becomes the owner.
 */
export class ShardBalancer {
  private moving: { readonly slot: BalancedShard; readonly receiver: string } | undefined;

  private isStopped = false;

  public constructor(
    private readonly slots: readonly BalancedShard[],
    private readonly collaborators: BalancerCollaborators,
  ) {}

  /** Moves no further shards. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Does one step each interval until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isStopped) {
      await this.collaborators.clock.sleep(this.collaborators.intervalMs, signal);
      if (!signal.aborted && !this.isStopped) await this.step();
    }
  }

  /** Hands over the shard that was prepared in the step before, and prepares another one. */
  public async step(): Promise<void> {
    const { moving } = this;
    this.moving = undefined;
    if (moving !== undefined && standbyOf(moving.slot) === moving.receiver) {
      await moving.slot.release(moving.receiver);
    }
    const owned = this.slots.filter((slot) => slot.owned !== undefined);
    if (owned.length <= this.share() + TOLERANCE) return;
    await this.prepare(owned);
  }

  private async prepare(owned: readonly BalancedShard[]): Promise<void> {
    const receiver = this.pickReceiver();
    const slot = receiver && this.pickShard(owned, receiver);
    if (receiver === undefined || slot === undefined) return;
    this.moving = { slot, receiver: receiver.name };
    if (standbyOf(slot) === receiver.name) return;
    await slot.renewClaim(controlRecords.holderOf(receiver));
  }

  private share(): number {
    return Math.ceil(
      this.slots.length / Math.max(1, this.collaborators.membership.available().length),
    );
  }

  private pickReceiver(): membership.Member | undefined {
    const { self } = this.collaborators.membership;
    const others = this.collaborators.membership
      .available()
      .filter(({ name }) => name !== self.name);
    const counted = others.map((member) => ({ member, count: this.countOf(member.name) }));
    counted.sort((a, b) => a.count - b.count);
    const [least] = counted;
    return least !== undefined && least.count < this.share() ? least.member : undefined;
  }

  private countOf(name: string): number {
    return this.slots.filter((slot) => slot.ownership?.owner.name === name).length;
  }

  /** The owned shard for which the receiver stands highest in the ranking. */
  private pickShard(
    owned: readonly BalancedShard[],
    receiver: membership.Member,
  ): BalancedShard | undefined {
    const { hash, membership: members } = this.collaborators;
    const available = members.available();
    const ranked = owned.map((slot) => ({
      slot,
      rank: rankMembers.rankMembers(slot.shard, available, hash).indexOf(receiver),
    }));
    ranked.sort((a, b) => a.rank - b.rank);
    return ranked[0]?.slot;
  }
}

function standbyOf(slot: BalancedShard): string | undefined {
  return slot.owned?.ownership.standby?.name;
}
