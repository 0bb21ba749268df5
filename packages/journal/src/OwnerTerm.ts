import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as controlRecords from './controlRecords.js';
import type * as freshness from './Freshness.js';
import type { RecordId } from './JournalRecord.js';
import * as refusal from './refuse.js';
import type * as shardStream from './ShardStream.js';
import type * as standbyLink from './StandbyLink.js';
import type { ReplicatedRecord } from './StandbyRecords.js';
import * as streamWriter from './StreamWriter.js';
import type { OwnedShard, Ownership, ShardFold, ShardHolder } from './Types.js';
import type { AppendResult } from './WriterQueue.js';

/** Age, as a part of the log's retention, from which records are renewed. */
const RENEWAL_PART = 0.5;

/** What an owner needs from the process. */
export interface OwnerCollaborators<State, Body> extends streamWriter.WriterCollaborators {
  readonly self: wire.PeerIdentity;
  readonly fold: ShardFold<State, Body>;
  readonly link: standbyLink.StandbyLink;
  readonly logger: logging.Logger;
  createId(): RecordId;
  retentionMs(): clock.Milliseconds | undefined;
}

/** One time for which this process owns a shard, from its claim to the next owner's. */
export class OwnerTerm<State, Body> {
  private readonly writer: streamWriter.StreamWriter<Body>;

  private isServing = false;

  private isReleasing = false;

  private isEnded = false;

  public constructor(
    private readonly stream: shardStream.ShardStream<State, Body>,
    private readonly fresh: freshness.Freshness,
    private readonly collaborators: OwnerCollaborators<State, Body>,
  ) {
    this.writer = new streamWriter.StreamWriter(this.createHost(), collaborators);
  }

  /** The shard, once all that counted before the claim has been applied, and until it is lost. */
  public get owned(): OwnedShard<State> | undefined {
    const { ownership } = this.reader;
    if (!this.isServing || ownership === undefined) return undefined;
    const { state, hasGap } = this.stream.view;
    return { ownership, state, hasGap };
  }

  /** Appends what the earlier owner replicated here. True when the shard can then be served. */
  public async begin(replicas: readonly ReplicatedRecord[]): Promise<boolean> {
    const { shard } = this.stream;
    this.writer.run().catch((cause: unknown) => {
      this.collaborators.logger.error('The writer failed.', { shard, reason: String(cause) });
    });
    const open = replicas.filter(({ id }) => !this.reader.hasCounted(id));
    await Promise.all(open.map(({ id, body }) => this.writer.adopt(id, body as Body)));
    if (this.isEnded) return false;
    this.isServing = true;
    const fields = { shard, epoch: this.reader.epoch, count: open.length };
    this.collaborators.logger.info('This VM owns the shard.', fields);
    return true;
  }

  /**
   * Ends the term. Fenced says that a later claim, or the release, has been read. True when the
   * shard had been served.
   */
  public end(isFenced: boolean): boolean {
    const { isServing } = this;
    this.isEnded = true;
    this.isServing = false;
    this.writer.stop(isFenced);
    this.collaborators.logger.info('This VM no longer owns the shard.', {
      shard: this.stream.shard,
    });
    return isServing;
  }

  /** Appends a body. */
  public async append(body: Body, replicateInOutage: boolean): Promise<AppendResult> {
    if (!this.isServing || this.isReleasing) return refusal.refuse('not-owner');
    return this.writer.append(body, replicateInOutage);
  }

  /** Says that a body has been read in the log; without a position, that it is malformed. */
  public settleRead: streamWriter.StreamWriter<Body>['settleRead'] = (id, position) =>
    this.writer.settleRead(id, position);

  /** Claims again with another standby. */
  public async renewClaim(standby: ShardHolder | undefined): Promise<void> {
    if (this.isReleasing) return;
    await this.writer.appendControl((id, epoch) =>
      controlRecords.makeClaim(this.subject(id, epoch + 1, standby)),
    );
  }

  /** Gives the shard up. Appends are refused from now on. */
  public async release(successor: string | undefined): Promise<boolean> {
    if (this.isReleasing) return false;
    this.isReleasing = true;
    const { shard } = this.stream;
    const result = await this.writer.appendControl((id, epoch) =>
      controlRecords.makeRelease({ id, shard, epoch }, successor),
    );
    this.isReleasing = false;
    return result.isOk || this.isEnded;
  }

  /** Asks the standby to claim the shard, since the log cannot be reached from here. */
  public async yieldToStandby(): Promise<void> {
    const { owned } = this;
    if (owned === undefined) return;
    const answer = await this.collaborators.link.yieldShard(owned.ownership);
    // Once the standby may claim, an earlier confirmation says nothing any more.
    if (answer.kind !== 'no-effect') this.fresh.revoke();
  }

  /** Renews what is about to expire. */
  public renewExpiring(): void {
    this.writer.renew();
  }

  /** Makes sure that this process still owned the shard at most `freshnessMs` ago. */
  public async confirmAuthority(
    freshnessMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<Ownership, errors.Fault>> {
    const { owned } = this;
    if (owned === undefined || this.isReleasing) return refusal.refuse('not-owner');
    if (this.fresh.isWithin(freshnessMs)) return this.authority();
    const answer = await this.collaborators.link.askAuthority(owned.ownership);
    if (answer.kind === 'granted') {
      this.fresh.confirm(answer.startedAt);
      return this.authority();
    }
    const failure = await this.stream.catchUp();
    if (failure !== undefined) {
      return refusal.refuse(answer.kind === 'refused' ? 'not-owner' : 'log-unavailable');
    }
    // A standby also refuses while it reads a claim of this owner before the owner itself has. Any
    // other refusal says that it is about to claim.
    const isRenewed = this.reader.epoch > owned.ownership.epoch;
    if (answer.kind === 'refused' && !isRenewed) return refusal.refuse('not-owner');
    return this.authority();
  }

  private get reader() {
    return this.stream.view.reader;
  }

  private authority(): trueMyth.Result<Ownership, errors.Fault> {
    const { owned } = this;
    if (owned === undefined || this.isReleasing) return refusal.refuse('not-owner');
    return trueMyth.Result.ok(owned.ownership);
  }

  private createHost(): streamWriter.WriterHost<Body> {
    const { stream, fresh, collaborators } = this;
    return {
      shard: stream.shard,
      stream: stream.name,
      epoch: () => this.reader.epoch,
      createId: () => collaborators.createId(),
      absorb: async (offset, payloads) =>
        stream.absorb(offset, payloads) ||
        (await stream.readTo(offset + payloads.length)) === undefined,
      replicate: (records) => this.replicate(records),
      applyAhead: (id, body) => stream.view.applyAhead(id, body),
      confirm: (startedAt) => fresh.confirm(startedAt),
      takeRenewal: () => this.takeRenewal(),
    };
  }

  private async replicate(
    records: readonly { id: RecordId; body: Body }[],
  ): Promise<standbyLink.StandbyAnswer['kind']> {
    const { ownership } = this.reader;
    if (ownership === undefined) return 'no-effect';
    const answer = await this.collaborators.link.replicate(ownership, [...records]);
    if (answer.kind === 'granted') this.fresh.confirm(answer.startedAt);
    return answer.kind;
  }

  private takeRenewal(): streamWriter.Renewal<Body> | undefined {
    const { retentionMs, fold } = this.collaborators;
    const retention = retentionMs();
    const { view } = this.stream;
    if (retention === undefined) return undefined;
    const expiringBelow = view.firstOffsetYoungerThan(retention * RENEWAL_PART);
    if (expiringBelow <= view.completeFrom) return undefined;
    const bodies = fold.renew(view.state, expiringBelow);
    const checkpoint = (id: RecordId, epoch: number) => {
      const subject = this.subject(id, epoch, this.reader.ownership?.standby);
      return controlRecords.makeCheckpoint(subject, expiringBelow);
    };
    return { bodies, checkpoint };
  }

  private subject(
    id: RecordId,
    epoch: number,
    standby: ShardHolder | undefined,
  ): controlRecords.ControlSubject {
    const owner = controlRecords.holderOf(this.collaborators.self);
    return { id, shard: this.stream.shard, epoch, owner, standby };
  }
}
