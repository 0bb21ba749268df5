import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as claimShard from './claimShard.js';
import * as controlRecords from './controlRecords.js';
import * as journalRecord from './JournalRecord.js';
import type { JournalRecord, RecordId } from './JournalRecord.js';
import type * as pauseDetector from './PauseDetector.js';
import * as refusal from './refuse.js';
import type * as peerMethods from './peerMethods.js';
import type { ReadOutcome } from './ShardReader.js';
import * as shardStream from './ShardStream.js';
import type * as standbyLink from './StandbyLink.js';
import * as standbyRecords from './StandbyRecords.js';
import * as streamWriter from './StreamWriter.js';
import type { AppendResult } from './StreamWriter.js';
import type { OwnedShard, Ownership, ShardHolder } from './Types.js';

/** Age, as a part of the log's retention, from which records are renewed. */
const RENEWAL_PART = 0.5;

/** What a slot needs from the process. */
export interface SlotCollaborators<State, Body>
  extends shardStream.StreamCollaborators<State, Body>, streamWriter.WriterCollaborators {
  readonly self: wire.PeerIdentity;
  readonly link: standbyLink.StandbyLink;
  readonly pauses: pauseDetector.PauseDetector;
  readonly logger: logging.Logger;
  createId(): RecordId;
  retentionMs(): clock.Milliseconds | undefined;
}

/** What a slot tells the journal. */
export interface SlotListener<State, Body> {
  onOwned(owned: OwnedShard<State>): void;
  onLost(shard: number): void;
  onOwnership(ownership: Ownership): void;
  onGap(shard: number, firstOffset: number): void;
  onRecord(shard: number, outcome: ReadOutcome<Body>): void;
}

type Answer<Value> = trueMyth.Result<Value, errors.Fault>;

/** One shard as this process knows it: follows, owns or stands by for it as its claims say. */
export class ShardSlot<State, Body> {
  public readonly stream: shardStream.ShardStream<State, Body>;

  private latest: Ownership | undefined;

  private writer: streamWriter.StreamWriter<Body> | undefined;

  private isServing = false;

  private isClaiming = false;

  private isReleasing = false;

  private confirmedAt = Number.NEGATIVE_INFINITY;

  private gapReported = false;

  private readonly replicas = new standbyRecords.StandbyRecords();

  private readonly ending = new AbortController();

  public constructor(
    public readonly shard: number,
    private readonly collaborators: SlotCollaborators<State, Body>,
    private readonly listener: SlotListener<State, Body>,
  ) {
    this.stream = new shardStream.ShardStream(shard, collaborators, {
      onRecord: (outcome) => this.onRecord(outcome),
      onTail: (startedAt) => this.onTail(startedAt),
      onRestart: () => this.stopOwning(),
    });
  }

  /** The latest claim known, read here or told by a peer. */
  public get ownership(): Ownership | undefined {
    return this.latest;
  }

  /** The shard, when it is owned here and its records have been replayed. */
  public get owned(): OwnedShard<State> | undefined {
    const { ownership, hasGap } = this.reader;
    if (!this.isServing || ownership === undefined) return undefined;
    return { ownership, state: this.stream.view.state, hasGap };
  }

  /** Whether the log names this process as the owner, replayed or not. */
  public get isOwner(): boolean {
    return this.writer !== undefined;
  }

  /** Whether the latest claim names this process as the standby. */
  public get isStandby(): boolean {
    return this.isSelf(this.latest?.standby);
  }

  /** Whether a claim of this process is on its way. */
  public get claiming(): boolean {
    return this.isClaiming;
  }

  /** Whether the owner has given the shard up, as far as this process follows it. */
  public get released(): boolean {
    return this.stream.view.caughtUp && this.reader.released;
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
    if (!this.noteClaim(ownership)) return;
    if (this.isStandby || this.isSelf(ownership.owner)) this.stream.follow();
    if (!this.isOwner || ownership.epoch <= this.reader.epoch) return;
    this.confirmedAt = Number.NEGATIVE_INFINITY;
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
    if (this.isSelf(this.latest?.owner)) return;
    if (this.released && this.successor === this.collaborators.self.name) return;
    const isHeldByOthers = this.latest !== undefined;
    if (isHeldByOthers && this.stream.hasRead) this.stream.unfollow();
  }

  /** Appends a body to the owned shard. */
  public async append(body: Body, replicateInOutage: boolean): Promise<AppendResult> {
    const { writer } = this;
    if (writer === undefined || !this.isServing || this.isReleasing)
      return refusal.refuse('not-owner');
    return writer.append(body, replicateInOutage);
  }

  /** The owner claims again with another standby. */
  public async renewClaim(standby: ShardHolder | undefined): Promise<void> {
    if (this.isReleasing || this.isClaiming) return;
    this.isClaiming = true;
    await this.writer?.appendControl((id, epoch) => this.makeClaim(id, epoch + 1, standby));
    this.isClaiming = false;
  }

  /** The owner gives the shard up. Appends are refused from now on. */
  public async release(successor: string | undefined): Promise<boolean> {
    if (this.writer === undefined || this.isReleasing) return false;
    this.isReleasing = true;
    const { shard } = this;
    const result = await this.writer.appendControl((id, epoch) =>
      controlRecords.makeRelease({ id, shard, epoch }, successor),
    );
    this.isReleasing = false;
    return result.isOk || !this.isOwner;
  }

  /**
   * Claims a shard that another process held under the given epoch. From the start of this call
   * this process vouches for no earlier owner.
   */
  public async takeOver(expectedEpoch: number, standby: ShardHolder | undefined): Promise<void> {
    if (this.isClaiming || this.isOwner) return;
    this.isClaiming = true;
    const failure = await this.stream.catchUp();
    if (failure === undefined && this.reader.epoch === expectedEpoch && !this.isOwner) {
      await this.claim(expectedEpoch + 1, standby);
    }
    this.isClaiming = false;
  }

  /** Makes sure that this process still owned the shard at most `freshnessMs` ago. */
  public async confirmAuthority(freshnessMs: clock.Milliseconds): Promise<Answer<Ownership>> {
    const { owned } = this;
    if (owned === undefined || this.isReleasing) return refusal.refuse('not-owner');
    if (this.isFresh(freshnessMs)) return this.authority();
    const answer = await this.collaborators.link.askAuthority(owned.ownership);
    if (answer.kind === 'refused') {
      this.stream.catchUp().catch(() => undefined);
      return refusal.refuse('not-owner');
    }
    if (answer.kind === 'granted') {
      this.confirm(answer.startedAt);
      return this.authority();
    }
    const failure = await this.stream.catchUp();
    return failure === undefined ? this.authority() : refusal.refuse('log-unavailable');
  }

  /** Answers an owner that asks for this standby's word. */
  public async vouch(epoch: number): Promise<Answer<object>> {
    if (this.reader.epoch < epoch && !this.isClaiming) await this.stream.catchUp();
    const reason = this.reasonToRefuse(epoch);
    return reason === undefined ? trueMyth.Result.ok({}) : refusal.refuse(reason);
  }

  /** Holds records of the owner until they are read in the log. */
  public async holdReplicas({
    epoch,
    records,
  }: peerMethods.ReplicateRequest): Promise<Answer<object>> {
    const reason = this.reasonToRefuse(epoch);
    if (reason !== undefined) return refusal.refuse(reason);
    const { body: schema } = this.collaborators.fold;
    const checked = records.map(({ id, body }) => ({ id, epoch, parsed: schema.safeParse(body) }));
    if (checked.some(({ parsed }) => !parsed.success)) return refusal.refuse('bad-request');
    checked.forEach(({ id, parsed }) => {
      if (!this.reader.hasCounted(id)) this.replicas.add({ id, epoch, body: parsed.data });
    });
    return trueMyth.Result.ok({});
  }

  /** Has the owner renew what is about to expire. */
  public renewExpiring(): void {
    this.writer?.renew();
  }

  /** Ends all work on the shard. */
  public stop(): void {
    this.ending.abort();
    this.writer?.stop();
    this.writer = undefined;
    this.isServing = false;
    this.stream.unfollow();
  }

  private get reader() {
    return this.stream.view.reader;
  }

  private isSelf(holder: ShardHolder | undefined): boolean {
    return holder?.incarnation === this.collaborators.self.incarnation;
  }

  private reasonToRefuse(epoch: number): errors.ErrorKind | undefined {
    const known = Math.max(this.latest?.epoch ?? 0, this.reader.epoch);
    if (this.isClaiming || this.isOwner || this.released || known > epoch) return 'not-owner';
    return known === epoch && this.isStandby ? undefined : 'not-ready';
  }

  private onRecord(outcome: ReadOutcome<Body>): void {
    this.listener.onRecord(this.shard, outcome);
    if (outcome.kind === 'body') this.onCounted(outcome.id, outcome);
    if (outcome.kind === 'skipped' && outcome.id !== undefined) this.onCounted(outcome.id);
    if (outcome.kind === 'claim') this.noteClaim(outcome.ownership);
    // Roles are taken from the end of the stream only: claims met in a replay are long past.
    const changes = outcome.kind === 'claim' || outcome.kind === 'release';
    if (changes && this.stream.view.caughtUp) this.takeRole();
  }

  private onCounted(id: RecordId, outcome?: Extract<ReadOutcome<Body>, { kind: 'body' }>): void {
    this.replicas.forget(id);
    this.writer?.settleRead(id, outcome?.position);
  }

  private noteClaim(ownership: Ownership): boolean {
    if (ownership.epoch <= (this.latest?.epoch ?? 0)) return false;
    this.latest = ownership;
    this.listener.onOwnership(ownership);
    return true;
  }

  private onTail(startedAt: clock.Milliseconds): void {
    this.confirm(startedAt);
    this.reportGap();
    this.takeRole();
  }

  private reportGap(): void {
    const { view } = this.stream;
    if (!this.reader.hasGap || this.gapReported) return;
    this.gapReported = true;
    const { shard } = this;
    const offset = view.firstOffset;
    this.collaborators.logger.error('Records expired before they were read.', { shard, offset });
    this.listener.onGap(shard, offset);
  }

  private takeRole(): void {
    const { ownership, released } = this.reader;
    const isOwner = !released && this.isSelf(ownership?.owner);
    if (!isOwner) {
      this.stopOwning();
      this.dropReplicasBefore(ownership);
    } else if (this.writer === undefined) {
      this.startOwning();
    }
  }

  private dropReplicasBefore(ownership: Ownership | undefined): void {
    if (ownership === undefined) return;
    // An owner appends what it replicated before it claims again, so nothing is lost by that.
    const count = this.replicas.takeBefore(ownership.epoch).length;
    if (count === 0) return;
    const { shard, epoch } = ownership;
    const fields = { shard, epoch, count };
    this.collaborators.logger.warn('Replicated records were dropped at a foreign claim.', fields);
  }

  private startOwning(): void {
    const writer = new streamWriter.StreamWriter<Body>(this.createHost(), this.collaborators);
    this.writer = writer;
    this.stream.follow();
    const { logger } = this.collaborators;
    const onFailure = (cause: unknown) => {
      logger.error('The writer failed.', { shard: this.shard, reason: String(cause) });
    };
    writer.run().catch(onFailure);
    this.serveAfterReplicas(writer).catch(onFailure);
  }

  private async serveAfterReplicas(writer: streamWriter.StreamWriter<Body>): Promise<void> {
    const { epoch } = this.reader;
    const records = this.replicas.takeBefore(epoch);
    const open = records.filter(({ id }) => !this.reader.hasCounted(id));
    await Promise.all(open.map(({ id, body }) => writer.adopt(id, body as Body)));
    if (this.writer !== writer) return;
    this.isServing = true;
    const fields = { shard: this.shard, epoch, count: open.length };
    this.collaborators.logger.info('This VM owns the shard.', fields);
    if (this.owned !== undefined) this.listener.onOwned(this.owned);
  }

  private stopOwning(): void {
    const { writer, isServing } = this;
    if (writer === undefined) return;
    const { isAhead } = this.stream.view;
    this.writer = undefined;
    this.isServing = false;
    writer.stop();
    this.collaborators.logger.info('This VM no longer owns the shard.', { shard: this.shard });
    if (isServing) this.listener.onLost(this.shard);
    // The state holds records that no other reader will ever have.
    if (isAhead) this.stream.reset();
  }

  private createHost(): streamWriter.WriterHost<Body> {
    const { shard, stream } = this;
    return {
      shard,
      stream: stream.name,
      epoch: () => this.reader.epoch,
      createId: () => this.collaborators.createId(),
      absorb: async (offset, payloads) =>
        stream.absorb(offset, payloads) ||
        (await stream.readTo(offset + payloads.length)) === undefined,
      replicate: (records) => this.replicate(records),
      applyAhead: (id, body) => stream.view.applyAhead(id, body),
      confirm: (startedAt) => this.confirm(startedAt),
      takeRenewal: () => this.takeRenewal(),
    };
  }

  private confirm(startedAt: clock.Milliseconds): void {
    this.confirmedAt = Math.max(this.confirmedAt, startedAt);
  }

  private isFresh(freshnessMs: clock.Milliseconds): boolean {
    const { clock: clockSource, pauses } = this.collaborators;
    if (pauses.hasPausedSince(this.confirmedAt)) return false;
    return clockSource.now() - this.confirmedAt < freshnessMs;
  }

  private authority(): Answer<Ownership> {
    const { owned } = this;
    if (owned === undefined || this.isReleasing) return refusal.refuse('not-owner');
    if (owned.ownership.epoch < (this.latest?.epoch ?? 0)) return refusal.refuse('not-owner');
    return trueMyth.Result.ok(owned.ownership);
  }

  private async replicate(
    records: readonly { id: RecordId; body: Body }[],
  ): Promise<standbyLink.StandbyAnswer['kind']> {
    const { ownership } = this.reader;
    if (ownership === undefined) return 'no-effect';
    const answer = await this.collaborators.link.replicate(ownership, [...records]);
    if (answer.kind === 'granted') this.confirm(answer.startedAt);
    return answer.kind;
  }

  private takeRenewal(): streamWriter.Renewal<Body> | undefined {
    const retention = this.collaborators.retentionMs();
    const { view } = this.stream;
    if (retention === undefined) return undefined;
    const expiringBelow = view.firstOffsetYoungerThan(retention * RENEWAL_PART);
    if (expiringBelow <= view.completeFrom) return undefined;
    view.completeFrom = expiringBelow;
    const bodies = this.collaborators.fold.renew(view.state, expiringBelow);
    const checkpoint = (id: RecordId, epoch: number) =>
      controlRecords.makeCheckpoint(
        this.subject(id, epoch, this.reader.ownership?.standby),
        expiringBelow,
      );
    return { bodies, checkpoint };
  }

  private subject(
    id: RecordId,
    epoch: number,
    standby: ShardHolder | undefined,
  ): controlRecords.ControlSubject {
    const owner = controlRecords.holderOf(this.collaborators.self);
    return { id, shard: this.shard, epoch, owner, standby };
  }

  private makeClaim(id: RecordId, epoch: number, standby: ShardHolder | undefined): JournalRecord {
    return controlRecords.makeClaim(this.subject(id, epoch, standby));
  }

  private claim(epoch: number, standby: ShardHolder | undefined): Promise<void> {
    const record = this.makeClaim(this.collaborators.createId(), epoch, standby);
    const { stream } = this;
    const claimStream: claimShard.ClaimStream = {
      shard: this.shard,
      name: stream.name,
      epoch: () => this.reader.epoch,
      absorb: (offset, payloads) => stream.absorb(offset, payloads),
      readTo: (offset) => stream.readTo(offset),
      catchUp: () => stream.catchUp(),
    };
    const payload = journalRecord.encodeRecord(record);
    const { signal } = this.ending;
    return claimShard.claimShard(claimStream, epoch, payload, this.collaborators, signal);
  }
}
