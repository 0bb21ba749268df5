import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import * as claimShard from './claimShard.js';
import * as ownershipConfirmation from './OwnershipConfirmation.js';
import type { RecordId } from './JournalRecord.js';
import * as latestClaim from './LatestClaim.js';
import * as ownerTerm from './OwnerTerm.js';
import * as refusal from './refuse.js';
import type { ReadOutcome } from './ShardReader.js';
import * as shardStream from './ShardStream.js';
import * as standbyRole from './StandbyRole.js';
import type { SlotDependencies, SlotListener } from './SlotTypes.js';
import type { OwnedShard, Ownership, ShardHolder } from './Types.js';
import type { AppendResult } from './WriterQueue.js';

type SlotResult<Value> = trueMyth.Result<Value, errors.Fault>;

/**
 * This process's role for one shard. According to the claims it owns the shard, is its standby, or
 * only follows its stream.
 */
export class ShardSlot<State, Body> {
  private readonly stream: shardStream.ShardStream<State, Body>;

  private readonly confirmation: ownershipConfirmation.OwnershipConfirmation;

  private readonly role: standbyRole.StandbyRole<Body>;

  private readonly stopping = new AbortController();

  private readonly claims: latestClaim.LatestClaim;

  private term: ownerTerm.OwnerTerm<State, Body> | undefined;

  private isClaiming = false;

  private isGapReported = false;

  public constructor(
    public readonly shard: number,
    private readonly dependencies: SlotDependencies<State, Body>,
    private readonly listener: SlotListener<State, Body>,
  ) {
    this.confirmation = new ownershipConfirmation.OwnershipConfirmation(
      dependencies.clock,
      dependencies.pauses,
    );
    this.stream = new shardStream.ShardStream(shard, dependencies, {
      onRecord: (outcome) => this.onRecord(outcome),
      onTail: (startedAt) => this.onTail(startedAt),
      onRestart: () => this.stopOwning(false),
    });
    const { incarnation } = dependencies.self;
    this.claims = new latestClaim.LatestClaim(incarnation, (claim) => listener.onOwnership(claim));
    this.role = new standbyRole.StandbyRole(this.createStandbyContext());
  }

  /** Handles the owner's requests while this process is the standby. */
  public get standbyRole(): standbyRole.StandbyRole<Body> {
    return this.role;
  }

  /** The latest known claim, read from the log or received from a peer. */
  public get ownership(): Ownership | undefined {
    return this.claims.ownership;
  }

  /** The shard, if this process owns it and has replayed its records. */
  public get owned(): OwnedShard<State> | undefined {
    return this.term?.owned;
  }

  /** Whether the log names this process as the owner, even if the replay is not finished. */
  public get isOwner(): boolean {
    return this.term !== undefined;
  }

  /** Whether the latest claim names this process as the standby. */
  public get isStandby(): boolean {
    return this.claims.namesSelfAsStandby;
  }

  /** Whether this process is claiming the shard. */
  public get claiming(): boolean {
    return this.isClaiming;
  }

  /** Whether the owner has released the shard, as far as this process has read. */
  public get released(): boolean {
    return this.stream.view.caughtUp && this.reader.released;
  }

  /** Whether the owner has asked this standby to claim the shard. */
  public get yielded(): boolean {
    return this.role.yielded;
  }

  /** The current epoch after the last record read; 0 before the first claim. */
  public get epoch(): number {
    return this.reader.epoch;
  }

  /** The name of the VM that the release of the shard names as successor. */
  public get successor(): string | undefined {
    return this.reader.successor;
  }

  /** Stores a claim that a peer has read. */
  public learn(ownership: Ownership): void {
    if (!this.claims.update(ownership)) return;
    this.claims.announce();
    if (this.isStandby || this.claims.isSelf(ownership.owner)) this.stream.follow();
    if (!this.isOwner || ownership.epoch <= this.reader.epoch) return;
    this.confirmation.revoke();
    this.stream.catchUp().catch(() => undefined);
  }

  /**
   * Reads the stream to its end once to find the latest claim. Returns whether the log responded.
   */
  public async readToEnd(): Promise<boolean> {
    const failure = await this.stream.catchUp();
    return failure === undefined;
  }

  /**
   * Stops following the stream of a shard that another process has claimed, unless this process
   * holds the shard or is about to claim it.
   */
  public stopFollowingIfUnneeded(): void {
    if (this.isOwner || this.isClaiming || this.isStandby) return;
    if (this.claims.namesSelfAsOwner) return;
    if (this.released && this.successor === this.dependencies.self.name) return;
    const isClaimedByOther = this.claims.epoch > 0;
    if (isClaimedByOther && this.stream.hasRead) this.stream.unfollow();
  }

  /** Appends a body to the owned shard. */
  public async append(body: Body, replicateInOutage: boolean): Promise<AppendResult> {
    // A peer may have reported a later claim while this process cannot read the log.
    if (this.term === undefined || this.isSuperseded) return refusal.refuse('not-owner');
    return this.term.append(body, replicateInOutage);
  }

  /** As the owner, claims the shard again with another standby. */
  public async renewClaim(standby: ShardHolder | undefined): Promise<void> {
    if (this.isClaiming) return;
    this.isClaiming = true;
    try {
      await this.term?.renewClaim(standby);
    } finally {
      this.isClaiming = false;
    }
  }

  /** As the owner, releases the shard. Appends are refused from now on. */
  public async release(successor: string | undefined): Promise<boolean> {
    return this.term?.release(successor) ?? false;
  }

  /**
   * Claims the shard if its epoch is still `expectedEpoch`. While this call runs, this process does
   * not confirm the authority of an earlier owner.
   */
  public async takeOver(expectedEpoch: number, standby: ShardHolder | undefined): Promise<void> {
    if (this.isClaiming || this.isOwner) return;
    this.isClaiming = true;
    try {
      await this.claimAfter(expectedEpoch, standby);
    } finally {
      this.isClaiming = false;
      this.role.clearYield();
    }
  }

  /** As the owner, asks the standby to claim, because this VM cannot reach the log. */
  public async yieldToStandby(): Promise<void> {
    await this.term?.yieldToStandby();
  }

  /** Confirms that this process owned the shard at some time within the last `freshnessMs`. */
  public async confirmAuthority(freshnessMs: clock.Milliseconds): Promise<SlotResult<Ownership>> {
    const result = await this.term?.confirmAuthority(freshnessMs);
    if (result === undefined || this.isSuperseded) return refusal.refuse('not-owner');
    return result;
  }

  /** As the owner, appends again the records that are about to expire. */
  public renewExpiring(): void {
    this.term?.renewExpiring();
  }

  /** Stops all work on the shard. */
  public stop(): void {
    this.stopping.abort();
    this.term?.end(false);
    this.term = undefined;
    this.stream.unfollow();
  }

  private get isSuperseded(): boolean {
    return this.claims.epoch > this.reader.epoch;
  }

  private get reader() {
    return this.stream.view.reader;
  }

  private createStandbyContext(): standbyRole.StandbyContext<Body> {
    const { fold, status } = this.dependencies;
    return {
      body: fold.body,
      status,
      latestEpoch: () => this.claims.epoch,
      readEpoch: () => this.reader.epoch,
      isStandby: () => this.isStandby,
      isOwnerSuperseded: () => this.isClaiming || this.isOwner || this.released,
      hasAccepted: (id) => this.reader.hasAccepted(id),
      catchUp: () => this.stream.catchUp(),
    };
  }

  private async claimAfter(expectedEpoch: number, standby: ShardHolder | undefined) {
    const failure = await this.stream.catchUp();
    if (failure !== undefined || this.isOwner || this.epochBeforeClaim() !== expectedEpoch) return;
    const content = { epoch: expectedEpoch + 1, standby };
    await claimShard.claimShard(this.stream, content, this.dependencies, this.stopping.signal);
  }

  /** The epoch that a claim must follow. After a gap, peers may know a claim that has expired. */
  private epochBeforeClaim(): number {
    const { epoch, hasGap } = this.reader;
    return hasGap ? Math.max(epoch, this.claims.epoch) : epoch;
  }

  private onRecord(outcome: ReadOutcome<Body>): void {
    this.listener.onRecord(this.shard, outcome);
    if (outcome.kind === 'body') this.onBodyRead(outcome.id, outcome);
    if (outcome.kind === 'skipped' && outcome.id !== undefined) this.onBodyRead(outcome.id);
    if (outcome.kind === 'claim') this.claims.update(outcome.ownership);
    // Roles only change at the end of the stream, because claims read in a replay may be outdated.
    const mayChangeRole = outcome.kind === 'claim' || outcome.kind === 'release';
    if (!mayChangeRole || !this.stream.view.caughtUp) return;
    this.claims.announce();
    this.updateRole();
  }

  private onBodyRead(id: RecordId, outcome?: Extract<ReadOutcome<Body>, { kind: 'body' }>): void {
    this.role.discard(id);
    this.term?.settleRead(id, outcome?.position);
  }

  private onTail(startedAt: clock.Milliseconds): void {
    this.confirmation.confirm(startedAt);
    this.claims.announce();
    this.reportGap();
    this.updateRole();
  }

  private reportGap(): void {
    const { shard } = this;
    const { firstOffset: offset, hasGap } = this.stream.view;
    if (!hasGap || this.isGapReported) return;
    this.isGapReported = true;
    this.dependencies.logger.error('Records expired before they were read.', { shard, offset });
    this.listener.onGap(shard, offset);
  }

  private updateRole(): void {
    const { ownership, released } = this.reader;
    const isOwner = !released && this.claims.isSelf(ownership?.owner);
    if (!isOwner) {
      this.stopOwning(true);
      this.dropReplicasBefore(ownership);
    } else if (this.term === undefined) {
      this.startOwning().catch((cause: unknown) => {
        const fields = { shard: this.shard, reason: String(cause) };
        this.dependencies.logger.error('Failed to start serving the shard as its owner.', fields);
      });
    }
  }

  private dropReplicasBefore(ownership: Ownership | undefined): void {
    if (ownership === undefined) return;
    // An owner appends its replicated records before it claims again, so none of them is lost.
    const count = this.role.takeBefore(ownership.epoch).length;
    if (count === 0) return;
    const { shard, epoch } = ownership;
    const fields = { shard, epoch, count };
    this.dependencies.logger.warn(
      'Dropped replicated records because another process claimed the shard.',
      fields,
    );
  }

  private async startOwning(): Promise<void> {
    const term = new ownerTerm.OwnerTerm(this.stream, this.confirmation, this.dependencies);
    this.term = term;
    this.stream.follow();
    const canServe = await term.begin(this.role.takeBefore(this.reader.epoch));
    if (canServe && term.owned !== undefined) this.listener.onOwned(term.owned);
  }

  private stopOwning(isFenced: boolean): void {
    const { term } = this;
    if (term === undefined) return;
    const { isAhead } = this.stream.view;
    this.term = undefined;
    if (term.end(isFenced)) this.listener.onLost(this.shard);
    // The state holds replicated records that the log may never contain.
    if (isAhead) this.stream.reset();
  }
}
