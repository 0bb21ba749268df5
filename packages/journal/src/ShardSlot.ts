import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import * as claimShard from './claimShard.js';
import * as freshness from './Freshness.js';
import type { RecordId } from './JournalRecord.js';
import * as latestClaim from './LatestClaim.js';
import * as ownerTerm from './OwnerTerm.js';
import * as refusal from './refuse.js';
import type { ReadOutcome } from './ShardReader.js';
import * as shardStream from './ShardStream.js';
import * as standbyDuty from './StandbyDuty.js';
import type { SlotCollaborators, SlotListener } from './SlotTypes.js';
import type { OwnedShard, Ownership, ShardHolder } from './Types.js';
import type { AppendResult } from './WriterQueue.js';

type Answer<Value> = trueMyth.Result<Value, errors.Fault>;

/** One shard as this process knows it: follows, owns or stands by for it as its claims say. */
export class ShardSlot<State, Body> {
  private readonly stream: shardStream.ShardStream<State, Body>;

  private readonly fresh: freshness.Freshness;

  private readonly duty: standbyDuty.StandbyDuty<Body>;

  private readonly ending = new AbortController();

  private readonly claims: latestClaim.LatestClaim;

  private term: ownerTerm.OwnerTerm<State, Body> | undefined;

  private isClaiming = false;

  private isGapReported = false;

  public constructor(
    public readonly shard: number,
    private readonly collaborators: SlotCollaborators<State, Body>,
    private readonly listener: SlotListener<State, Body>,
  ) {
    this.fresh = new freshness.Freshness(collaborators.clock, collaborators.pauses);
    this.stream = new shardStream.ShardStream(shard, collaborators, {
      onRecord: (outcome) => this.onRecord(outcome),
      onTail: (startedAt) => this.onTail(startedAt),
      onRestart: () => this.stopOwning(false),
    });
    const { incarnation } = collaborators.self;
    this.claims = new latestClaim.LatestClaim(incarnation, (claim) => listener.onOwnership(claim));
    this.duty = new standbyDuty.StandbyDuty(this.createFacts());
  }

  /** What this process does for the owner while it is the standby. */
  public get standbyDuty(): standbyDuty.StandbyDuty<Body> {
    return this.duty;
  }

  /** The latest claim known, read here or told by a peer. */
  public get ownership(): Ownership | undefined {
    return this.claims.ownership;
  }

  /** The shard, when it is owned here and its records have been replayed. */
  public get owned(): OwnedShard<State> | undefined {
    return this.term?.owned;
  }

  /** Whether the log names this process as the owner, replayed or not. */
  public get isOwner(): boolean {
    return this.term !== undefined;
  }

  /** Whether the latest claim names this process as the standby. */
  public get isStandby(): boolean {
    return this.claims.namesStandby;
  }

  /** Whether a claim of this process is on its way. */
  public get claiming(): boolean {
    return this.isClaiming;
  }

  /** Whether the owner has given the shard up, as far as this process has read. */
  public get released(): boolean {
    return this.stream.view.caughtUp && this.reader.released;
  }

  /** Whether the owner has asked this standby to claim the shard. */
  public get yielded(): boolean {
    return this.duty.yielded;
  }

  /** The epoch in force at the end of what was read here; 0 before the first claim. */
  public get epoch(): number {
    return this.reader.epoch;
  }

  /** The VM that the owner named when it gave the shard up. */
  public get successor(): string | undefined {
    return this.reader.successor;
  }

  /** Takes a claim that a peer has seen. */
  public learn(ownership: Ownership): void {
    if (!this.claims.note(ownership)) return;
    this.claims.announce();
    if (this.isStandby || this.claims.isSelf(ownership.owner)) this.stream.follow();
    if (!this.isOwner || ownership.epoch <= this.reader.epoch) return;
    this.fresh.revoke();
    this.stream.catchUp().catch(() => undefined);
  }

  /** Reads the stream to its end once, to learn of its claim. True when the log answered. */
  public async look(): Promise<boolean> {
    const failure = await this.stream.catchUp();
    return failure === undefined;
  }

  /** Stops following a shard that this process neither holds nor is about to claim. */
  public leaveUnlessHeld(): void {
    if (this.isOwner || this.isClaiming || this.isStandby) return;
    if (this.claims.namesOwner) return;
    if (this.released && this.successor === this.collaborators.self.name) return;
    const isHeldByOthers = this.claims.epoch > 0;
    if (isHeldByOthers && this.stream.hasRead) this.stream.unfollow();
  }

  /** Appends a body to the owned shard. */
  public async append(body: Body, replicateInOutage: boolean): Promise<AppendResult> {
    // A peer may have told of a later claim while the log cannot be read here.
    if (this.term === undefined || this.isOutdated) return refusal.refuse('not-owner');
    return this.term.append(body, replicateInOutage);
  }

  /** The owner claims again with another standby. */
  public async renewClaim(standby: ShardHolder | undefined): Promise<void> {
    if (this.isClaiming) return;
    this.isClaiming = true;
    try {
      await this.term?.renewClaim(standby);
    } finally {
      this.isClaiming = false;
    }
  }

  /** The owner gives the shard up. Appends are refused from now on. */
  public async release(successor: string | undefined): Promise<boolean> {
    return this.term?.release(successor) ?? false;
  }

  /**
   * Claims a shard that another process held under the given epoch. From the start of this call
   * this process vouches for no earlier owner.
   */
  public async takeOver(expectedEpoch: number, standby: ShardHolder | undefined): Promise<void> {
    if (this.isClaiming || this.isOwner) return;
    this.isClaiming = true;
    try {
      await this.claimAfter(expectedEpoch, standby);
    } finally {
      this.isClaiming = false;
      this.duty.clearYield();
    }
  }

  /** The owner asks its standby to claim, since it cannot reach the log itself. */
  public async yieldToStandby(): Promise<void> {
    await this.term?.yieldToStandby();
  }

  /** Makes sure that this process still owned the shard at most `freshnessMs` ago. */
  public async confirmAuthority(freshnessMs: clock.Milliseconds): Promise<Answer<Ownership>> {
    const answer = await this.term?.confirmAuthority(freshnessMs);
    if (answer === undefined || this.isOutdated) return refusal.refuse('not-owner');
    return answer;
  }

  /** Has the owner renew what is about to expire. */
  public renewExpiring(): void {
    this.term?.renewExpiring();
  }

  /** Ends all work on the shard. */
  public stop(): void {
    this.ending.abort();
    this.term?.end(false);
    this.term = undefined;
    this.stream.unfollow();
  }

  private get isOutdated(): boolean {
    return this.claims.epoch > this.reader.epoch;
  }

  private get reader() {
    return this.stream.view.reader;
  }

  private createFacts(): standbyDuty.StandbyFacts<Body> {
    const { fold, status } = this.collaborators;
    return {
      body: fold.body,
      status,
      latestEpoch: () => this.claims.epoch,
      readEpoch: () => this.reader.epoch,
      isStandby: () => this.isStandby,
      isPastOwner: () => this.isClaiming || this.isOwner || this.released,
      hasCounted: (id) => this.reader.hasCounted(id),
      catchUp: () => this.stream.catchUp(),
    };
  }

  private async claimAfter(expectedEpoch: number, standby: ShardHolder | undefined) {
    const failure = await this.stream.catchUp();
    if (failure !== undefined || this.isOwner || this.epochForClaim() !== expectedEpoch) return;
    const content = { epoch: expectedEpoch + 1, standby };
    await claimShard.claimShard(this.stream, content, this.collaborators, this.ending.signal);
  }

  /** The epoch that a claim follows. After a gap the peers may know of one that has expired. */
  private epochForClaim(): number {
    const { epoch, hasGap } = this.reader;
    return hasGap ? Math.max(epoch, this.claims.epoch) : epoch;
  }

  private onRecord(outcome: ReadOutcome<Body>): void {
    this.listener.onRecord(this.shard, outcome);
    if (outcome.kind === 'body') this.onCounted(outcome.id, outcome);
    if (outcome.kind === 'skipped' && outcome.id !== undefined) this.onCounted(outcome.id);
    if (outcome.kind === 'claim') this.claims.note(outcome.ownership);
    // Roles are taken from the end of the stream only: claims met in a replay are long past.
    const changes = outcome.kind === 'claim' || outcome.kind === 'release';
    if (!changes || !this.stream.view.caughtUp) return;
    this.claims.announce();
    this.takeRole();
  }

  private onCounted(id: RecordId, outcome?: Extract<ReadOutcome<Body>, { kind: 'body' }>): void {
    this.duty.forget(id);
    this.term?.settleRead(id, outcome?.position);
  }

  private onTail(startedAt: clock.Milliseconds): void {
    this.fresh.confirm(startedAt);
    this.claims.announce();
    this.reportGap();
    this.takeRole();
  }

  private reportGap(): void {
    const { shard } = this;
    const { firstOffset: offset, hasGap } = this.stream.view;
    if (!hasGap || this.isGapReported) return;
    this.isGapReported = true;
    this.collaborators.logger.error('Records expired before they were read.', { shard, offset });
    this.listener.onGap(shard, offset);
  }

  private takeRole(): void {
    const { ownership, released } = this.reader;
    const isOwner = !released && this.claims.isSelf(ownership?.owner);
    if (!isOwner) {
      this.stopOwning(true);
      this.dropReplicasBefore(ownership);
    } else if (this.term === undefined) {
      this.startOwning().catch((cause: unknown) => {
        const fields = { shard: this.shard, reason: String(cause) };
        this.collaborators.logger.error('Starting to own the shard failed.', fields);
      });
    }
  }

  private dropReplicasBefore(ownership: Ownership | undefined): void {
    if (ownership === undefined) return;
    // An owner appends what it replicated before it claims again, so nothing is lost by that.
    const count = this.duty.takeBefore(ownership.epoch).length;
    if (count === 0) return;
    const { shard, epoch } = ownership;
    const fields = { shard, epoch, count };
    this.collaborators.logger.warn('Replicated records were dropped at a foreign claim.', fields);
  }

  private async startOwning(): Promise<void> {
    const term = new ownerTerm.OwnerTerm(this.stream, this.fresh, this.collaborators);
    this.term = term;
    this.stream.follow();
    const canServe = await term.begin(this.duty.takeBefore(this.reader.epoch));
    if (canServe && term.owned !== undefined) this.listener.onOwned(term.owned);
  }

  private stopOwning(isFenced: boolean): void {
    const { term } = this;
    if (term === undefined) return;
    const { isAhead } = this.stream.view;
    this.term = undefined;
    if (term.end(isFenced)) this.listener.onLost(this.shard);
    // The state holds records that no other reader will ever have.
    if (isAhead) this.stream.reset();
  }
}
