import type * as journal from '@limpettack/journal';
import * as membership from '@limpettack/membership';
import type { Holder } from './messages.js';

/** The part of the membership that the limits use. */
export type MemberView = Pick<
  membership.Membership,
  'members' | 'hasEnded' | 'self' | 'find' | 'onChange'
>;

interface KnownHolder {
  readonly holder: Holder;
  /** The first epoch in which the process is known to have held the shard. */
  readonly firstEpoch: number;
}

/** The processes that have held a shard, according to the claims that this process has seen. */
export class HolderHistory {
  private readonly holders = new Map<string, KnownHolder>();

  private lastEpoch = 0;

  private hasGap = false;

  public constructor(private readonly members: MemberView) {}

  /** Records a claim. */
  public add(ownership: journal.Ownership): void {
    if (ownership.epoch > this.lastEpoch) {
      this.hasGap ||= ownership.epoch > this.lastEpoch + 1;
      this.lastEpoch = ownership.epoch;
    }
    this.addHolder(ownership.owner, ownership.epoch);
    if (ownership.standby) this.addHolder(ownership.standby, ownership.epoch);
    this.removeEnded();
  }

  /**
   * Returns the processes that may have held the shard before an epoch and are not proved to have
   * ended. If a claim was missed, any member may have held it.
   */
  public earlierHolders(epoch: number): readonly Holder[] {
    this.removeEnded();
    const known = [...this.holders.values()]
      .filter(({ firstEpoch }) => firstEpoch < epoch)
      .map(({ holder }) => holder);
    const others = this.hasGap ? this.livingMembers() : [];
    const byKey = new Map([...others, ...known].map((holder) => [keyOf(holder), holder]));
    byKey.delete(keyOf(this.members.self));
    return [...byKey.values()];
  }

  private addHolder(holder: Holder, epoch: number): void {
    const key = keyOf(holder);
    const firstEpoch = Math.min(epoch, this.holders.get(key)?.firstEpoch ?? epoch);
    const { name, incarnation, address } = holder;
    this.holders.set(key, { holder: { name, incarnation, address }, firstEpoch });
  }

  private removeEnded(): void {
    [...this.holders.entries()]
      .filter(([, { holder }]) => this.members.hasEnded(holder.name, holder.incarnation))
      .forEach(([key]) => this.holders.delete(key));
  }

  private livingMembers(): readonly Holder[] {
    return this.members
      .members()
      .filter((member) => member.state !== membership.MEMBER_STATES.GONE)
      .map(({ name, incarnation, address }) => ({ name, incarnation, address }));
  }
}

/** Returns a key that is unique to a process. */
export function keyOf(holder: Omit<Holder, 'address'>): string {
  return `${holder.name} ${holder.incarnation}`;
}

/** Returns whether a process is proved to have ended. */
export function hasHolderEnded(members: MemberView, holder: Holder): boolean {
  if (holder.incarnation !== '') return members.hasEnded(holder.name, holder.incarnation);
  // Without contact the incarnation is unknown, so it cannot be compared with later ones.
  return members.find(holder.name)?.state === membership.MEMBER_STATES.GONE;
}
