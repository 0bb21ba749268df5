import type { Ownership, ShardHolder } from './Types.js';

/** The latest known claim of a shard, read from the log or received from a peer. */
export class LatestClaim {
  private latest: Ownership | undefined;

  private announcedEpoch = 0;

  public constructor(
    private readonly selfIncarnation: string,
    private readonly notifyListener: (ownership: Ownership) => void,
  ) {}

  /** The claim; undefined while none is known. */
  public get ownership(): Ownership | undefined {
    return this.latest;
  }

  /** The epoch of the claim; 0 while none is known. */
  public get epoch(): number {
    return this.latest?.epoch ?? 0;
  }

  /** Whether the claim names this process as the owner. */
  public get namesSelfAsOwner(): boolean {
    return this.isSelf(this.latest?.owner);
  }

  /** Whether the claim names this process as the standby. */
  public get namesSelfAsStandby(): boolean {
    return this.isSelf(this.latest?.standby);
  }

  /** Whether the given holder is this process. */
  public isSelf(holder: ShardHolder | undefined): boolean {
    return holder?.incarnation === this.selfIncarnation;
  }

  /** Stores a claim if it is later than the known one. Returns whether it was stored. */
  public update(ownership: Ownership): boolean {
    if (ownership.epoch <= this.epoch) return false;
    this.latest = ownership;
    return true;
  }

  /** Notifies the listener of the claim once. Superseded claims of a replay are not announced. */
  public announce(): void {
    if (this.latest === undefined || this.epoch <= this.announcedEpoch) return;
    this.announcedEpoch = this.epoch;
    this.notifyListener(this.latest);
  }
}
