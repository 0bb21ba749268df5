import type { Ownership, ShardHolder } from './Types.js';

/** The latest claim known for a shard, read in the log or told by a peer. */
export class LatestClaim {
  private latest: Ownership | undefined;

  private announcedEpoch = 0;

  public constructor(
    private readonly selfIncarnation: string,
    private readonly tell: (ownership: Ownership) => void,
  ) {}

  /** The claim; nothing while none is known. */
  public get ownership(): Ownership | undefined {
    return this.latest;
  }

  /** Its epoch; 0 while none is known. */
  public get epoch(): number {
    return this.latest?.epoch ?? 0;
  }

  /** Whether it names this process as the owner. */
  public get namesOwner(): boolean {
    return this.isSelf(this.latest?.owner);
  }

  /** Whether it names this process as the standby. */
  public get namesStandby(): boolean {
    return this.isSelf(this.latest?.standby);
  }

  /** Whether a holder is this process. */
  public isSelf(holder: ShardHolder | undefined): boolean {
    return holder?.incarnation === this.selfIncarnation;
  }

  /** Takes a claim. True when it is later than the one known. */
  public note(ownership: Ownership): boolean {
    if (ownership.epoch <= this.epoch) return false;
    this.latest = ownership;
    return true;
  }

  /** Tells of the claim, once. Claims that a replay goes past are not told. */
  public announce(): void {
    if (this.latest === undefined || this.epoch <= this.announcedEpoch) return;
    this.announcedEpoch = this.epoch;
    this.tell(this.latest);
  }
}
