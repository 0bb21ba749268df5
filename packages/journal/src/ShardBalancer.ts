import type * as clock from '@limpettack/clock';
import type * as membership from '@limpettack/membership';
import * as controlRecords from './controlRecords.js';
import * as rankMembers from './rankMembers.js';
import type * as shardSlot from './ShardSlot.js';

/** Number of shards above its even share that a VM keeps. */
const TOLERATED_EXCESS = 1;

/** Dependencies and settings of the balancer. */
export interface BalancerDependencies {
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
  readonly hash: rankMembers.HashText;
  readonly intervalMs: clock.Milliseconds;
}

/** The properties and methods of a slot that the balancer uses. */
export type BalancedShard = Pick<
  shardSlot.ShardSlot<unknown, unknown>,
  'shard' | 'ownership' | 'owned' | 'renewClaim' | 'release'
>;

/**
 * Hands shards over to other VMs, one at a time, while this VM owns more than its share and a
 * tolerance. The receiver becomes the standby first, so that it has the state when it takes over.
 */
export class ShardBalancer {
  private preparedMove: { readonly slot: BalancedShard; readonly receiver: string } | undefined;

  private isStopped = false;

  public constructor(
    private readonly slots: readonly BalancedShard[],
    private readonly dependencies: BalancerDependencies,
  ) {}

  /** Stops moving shards. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Performs one step in each interval until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isStopped) {
      await this.dependencies.clock.sleep(this.dependencies.intervalMs, signal);
      if (!signal.aborted && !this.isStopped) await this.step();
    }
  }

  /** Hands over the shard that the previous step prepared, and prepares the next one. */
  public async step(): Promise<void> {
    const { preparedMove: move } = this;
    this.preparedMove = undefined;
    if (move !== undefined && standbyOf(move.slot) === move.receiver) {
      await move.slot.release(move.receiver);
    }
    const owned = this.slots.filter((slot) => slot.owned !== undefined);
    if (owned.length <= this.evenShare() + TOLERATED_EXCESS) return;
    await this.prepareMove(owned);
  }

  private async prepareMove(owned: readonly BalancedShard[]): Promise<void> {
    const receiver = this.pickReceiver();
    const slot = receiver && this.pickShard(owned, receiver);
    if (receiver === undefined || slot === undefined) return;
    this.preparedMove = { slot, receiver: receiver.name };
    if (standbyOf(slot) === receiver.name) return;
    await slot.renewClaim(controlRecords.holderOf(receiver));
  }

  private evenShare(): number {
    return Math.ceil(
      this.slots.length / Math.max(1, this.dependencies.membership.available().length),
    );
  }

  private pickReceiver(): membership.Member | undefined {
    const { self } = this.dependencies.membership;
    const others = this.dependencies.membership
      .available()
      .filter(({ name }) => name !== self.name);
    const counted = others.map((member) => ({ member, count: this.countOf(member.name) }));
    counted.sort((a, b) => a.count - b.count);
    const [least] = counted;
    return least !== undefined && least.count < this.evenShare() ? least.member : undefined;
  }

  private countOf(name: string): number {
    return this.slots.filter((slot) => slot.ownership?.owner.name === name).length;
  }

  /** Returns the owned shard for which the receiver ranks highest. */
  private pickShard(
    owned: readonly BalancedShard[],
    receiver: membership.Member,
  ): BalancedShard | undefined {
    const { hash, membership: members } = this.dependencies;
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
