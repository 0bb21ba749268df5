import type * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import type { JournalView, TakeoverHook } from '../Types.js';
import type * as fakeLog from './FakeLog.js';

/** A process's view of the claims in the log, for tests. */
export class FakeJournal implements JournalView {
  public readonly shardCount = 1;

  public hook: TakeoverHook | undefined;

  private readonly ownedEmitter = new lifetime.Emitter<journal.OwnedShard<unknown>>();

  private readonly lostEmitter = new lifetime.Emitter<number>();

  private readonly changeEmitter = new lifetime.Emitter<journal.Ownership>();

  public readonly onOwned = this.ownedEmitter.event;

  public readonly onLost = this.lostEmitter.event;

  public readonly onOwnershipChange = this.changeEmitter.event;

  private latest: journal.Ownership | undefined;

  private ownedShard: journal.OwnedShard<unknown> | undefined;

  public constructor(
    private readonly log: fakeLog.FakeLog,
    private readonly self: journal.ShardHolder,
  ) {}

  /** @inheritdoc */
  public shardOf(): number {
    return 0;
  }

  /** @inheritdoc */
  public ownership(): journal.Ownership | undefined {
    return this.latest;
  }

  /** @inheritdoc */
  public owned(): journal.OwnedShard<unknown> | undefined {
    return this.ownedShard;
  }

  /** @inheritdoc */
  public isLogAvailable(): boolean {
    return this.log.isAvailable;
  }

  /** @inheritdoc */
  public learn(ownership: journal.Ownership): void {
    if (ownership.epoch <= (this.latest?.epoch ?? 0)) return;
    this.latest = ownership;
    this.changeEmitter.fire(ownership);
    this.updateOwned(ownership);
  }

  /** Appends a claim for the shard. Whether it is effective is known only after reading the log. */
  public claim(standby: journal.ShardHolder | undefined): void {
    if (!this.log.isAvailable) return;
    this.hook?.beforeClaim(0);
    const epoch = (this.latest?.epoch ?? 0) + 1;
    this.log.append({ shard: 0, epoch, owner: this.self, ...(standby ? { standby } : {}) });
  }

  /** Reads the log to its tail. */
  public read(): void {
    if (!this.log.isAvailable) return;
    this.log.claims.forEach((claim) => this.learn(claim));
    const isOwner = this.latest?.owner.incarnation === this.self.incarnation;
    if (!this.latest || !isOwner || this.ownedShard?.ownership === this.latest) return;
    this.ownedShard = { ownership: this.latest, state: undefined, hasGap: false };
    this.ownedEmitter.fire(this.ownedShard);
  }

  private updateOwned(ownership: journal.Ownership): void {
    if (!this.ownedShard || ownership.owner.incarnation === this.self.incarnation) return;
    this.ownedShard = undefined;
    this.lostEmitter.fire(0);
  }
}
