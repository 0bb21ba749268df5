import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as controlRecords from './controlRecords.js';
import type * as ownershipConfirmation from './OwnershipConfirmation.js';
import type { RecordId } from './JournalRecord.js';
import * as refusal from './refuse.js';
import type * as shardStream from './ShardStream.js';
import type * as standbyLink from './StandbyLink.js';
import type { ReplicatedRecord } from './StandbyRecords.js';
import * as streamWriter from './StreamWriter.js';
import type { OwnedShard, Ownership, ShardFold, ShardHolder } from './Types.js';
import type { AppendResult } from './WriterQueue.js';

/** Age from which records are appended again, as a fraction of the log's retention. */
const RENEWAL_AGE_FRACTION = 0.5;

/** Dependencies of an owner. */
export interface OwnerDependencies<State, Body> extends streamWriter.WriterDependencies {
  readonly self: wire.PeerIdentity;
  readonly fold: ShardFold<State, Body>;
  readonly link: standbyLink.StandbyLink;
  readonly logger: logging.Logger;
  createId(): RecordId;
  retentionMs(): clock.Milliseconds | undefined;
}

/** A period in which this process owns a shard, from its claim to that of the next owner. */
export class OwnerTerm<State, Body> {
  private readonly writer: streamWriter.StreamWriter<Body>;

  private isServing = false;

  private isReleasing = false;

  private isEnded = false;

  public constructor(
    private readonly stream: shardStream.ShardStream<State, Body>,
    private readonly confirmation: ownershipConfirmation.OwnershipConfirmation,
    private readonly dependencies: OwnerDependencies<State, Body>,
  ) {
    this.writer = new streamWriter.StreamWriter(this.createHost(), dependencies);
  }

  /**
   * The owned shard. Undefined until the records that the earlier owner replicated have been
   * appended, and after the term has ended.
   */
  public get owned(): OwnedShard<State> | undefined {
    const { ownership } = this.reader;
    if (!this.isServing || ownership === undefined) return undefined;
    const { state, hasGap } = this.stream.view;
    return { ownership, state, hasGap };
  }

  /**
   * Appends the records that the earlier owner replicated to this process. Returns whether the
   * shard can be served afterwards.
   */
  public async begin(replicas: readonly ReplicatedRecord[]): Promise<boolean> {
    const { shard } = this.stream;
    this.writer.run().catch((cause: unknown) => {
      this.dependencies.logger.error('The writer failed.', { shard, reason: String(cause) });
    });
    const unread = replicas.filter(({ id }) => !this.reader.hasAccepted(id));
    await Promise.all(unread.map(({ id, body }) => this.writer.adopt(id, body as Body)));
    if (this.isEnded) return false;
    this.isServing = true;
    const fields = { shard, epoch: this.reader.epoch, count: unread.length };
    this.dependencies.logger.info('This VM owns the shard.', fields);
    return true;
  }

  /**
   * Ends the term. `isFenced` states that a later claim or the release has been read. Returns
   * whether the shard was being served.
   */
  public end(isFenced: boolean): boolean {
    const { isServing } = this;
    this.isEnded = true;
    this.isServing = false;
    this.writer.stop(isFenced);
    this.dependencies.logger.info('This VM no longer owns the shard.', {
      shard: this.stream.shard,
    });
    return isServing;
  }

  /** Appends a body. */
  public async append(body: Body, replicateInOutage: boolean): Promise<AppendResult> {
    if (!this.isServing || this.isReleasing) return refusal.refuse('not-owner');
    return this.writer.append(body, replicateInOutage);
  }

  /**
   * Reports that a body has been read in the log. An undefined position means that the body is
   * malformed.
   */
  public settleRead: streamWriter.StreamWriter<Body>['settleRead'] = (id, position) =>
    this.writer.settleRead(id, position);

  /** Appends a new claim that names another standby. */
  public async renewClaim(standby: ShardHolder | undefined): Promise<void> {
    if (this.isReleasing) return;
    await this.writer.appendControl((id, epoch) =>
      controlRecords.makeClaim(this.controlFields(id, epoch + 1, standby)),
    );
  }

  /** Releases the shard and refuses appends from now on. Returns whether it was released. */
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

  /** Asks the standby to claim the shard, because this VM cannot reach the log. */
  public async yieldToStandby(): Promise<void> {
    const { owned } = this;
    if (owned === undefined) return;
    const reply = await this.dependencies.link.yieldShard(owned.ownership);
    // Once the standby may claim, an earlier confirmation is no longer valid.
    if (reply.kind !== 'no-effect') this.confirmation.revoke();
  }

  /** Appends again the records that are about to expire. */
  public renewExpiring(): void {
    this.writer.renew();
  }

  /** Confirms that this process owned the shard at some time within the last `freshnessMs`. */
  public async confirmAuthority(
    freshnessMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<Ownership, errors.Fault>> {
    const { owned } = this;
    if (owned === undefined || this.isReleasing) return refusal.refuse('not-owner');
    if (this.confirmation.isYoungerThan(freshnessMs)) return this.authority();
    const reply = await this.dependencies.link.requestAuthority(owned.ownership);
    if (reply.kind === 'granted') {
      this.confirmation.confirm(reply.startedAt);
      return this.authority();
    }
    const failure = await this.stream.catchUp();
    if (failure !== undefined) {
      return refusal.refuse(reply.kind === 'refused' ? 'not-owner' : 'log-unavailable');
    }
    // A standby also refuses when it has read a new claim of this owner before the owner itself
    // has. Any other refusal means that the standby is about to claim.
    const isRenewed = this.reader.epoch > owned.ownership.epoch;
    if (reply.kind === 'refused' && !isRenewed) return refusal.refuse('not-owner');
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
    const { stream, confirmation, dependencies } = this;
    return {
      shard: stream.shard,
      stream: stream.name,
      epoch: () => this.reader.epoch,
      createId: () => dependencies.createId(),
      applyAppended: async (offset, payloads) =>
        stream.applyAppended(offset, payloads) ||
        (await stream.readTo(offset + payloads.length)) === undefined,
      replicate: (records) => this.replicate(records),
      applyAhead: (id, body) => stream.view.applyAhead(id, body),
      confirm: (startedAt) => confirmation.confirm(startedAt),
      takeRenewal: () => this.takeRenewal(),
    };
  }

  private async replicate(
    records: readonly { id: RecordId; body: Body }[],
  ): Promise<standbyLink.StandbyReply['kind']> {
    const { ownership } = this.reader;
    if (ownership === undefined) return 'no-effect';
    const reply = await this.dependencies.link.replicate(ownership, [...records]);
    if (reply.kind === 'granted') this.confirmation.confirm(reply.startedAt);
    return reply.kind;
  }

  private takeRenewal(): streamWriter.Renewal<Body> | undefined {
    const { retentionMs, fold } = this.dependencies;
    const retention = retentionMs();
    const { view } = this.stream;
    if (retention === undefined) return undefined;
    const expiringBelow = view.firstOffsetYoungerThan(retention * RENEWAL_AGE_FRACTION);
    if (expiringBelow <= view.completeFrom) return undefined;
    const bodies = fold.renew(view.state, expiringBelow);
    const checkpoint = (id: RecordId, epoch: number) => {
      const fields = this.controlFields(id, epoch, this.reader.ownership?.standby);
      return controlRecords.makeCheckpoint(fields, expiringBelow);
    };
    return { bodies, checkpoint };
  }

  private controlFields(
    id: RecordId,
    epoch: number,
    standby: ShardHolder | undefined,
  ): controlRecords.ControlFields {
    const owner = controlRecords.holderOf(this.dependencies.self);
    return { id, shard: this.stream.shard, epoch, owner, standby };
  }
}
