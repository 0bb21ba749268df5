import type * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type { RecordId } from './JournalRecord.js';
import type * as logStatus from './LogStatus.js';
import type * as peerMethods from './peerMethods.js';
import * as refusal from './refuse.js';
import * as standbyRecords from './StandbyRecords.js';

/** How long the log must have been up before this standby agrees to claim a shard on request. */
const MINIMUM_UP_BEFORE_YIELD_MS = 1_000;

type StandbyResult = trueMyth.Result<object, errors.Fault>;

/** The state of the slot that the standby's decisions depend on. */
export interface StandbyContext<Body> {
  readonly body: zod.ZodType<Body>;
  readonly status: logStatus.LogStatus;
  /** The latest known epoch, read from the log or received from a peer. */
  latestEpoch(): number;
  /** The latest epoch read from the log. */
  readEpoch(): number;
  isStandby(): boolean;
  /** Whether this process owns the shard, has begun to claim it, or has read its release. */
  isOwnerSuperseded(): boolean;
  hasAccepted(id: RecordId): boolean;
  catchUp(): Promise<unknown>;
}

/** Handles the requests that a shard's owner sends to its standby. */
export class StandbyRole<Body> {
  private readonly records = new standbyRecords.StandbyRecords();

  private hasBeenYielded = false;

  public constructor(private readonly context: StandbyContext<Body>) {}

  /** Whether the owner has asked this standby to claim the shard. */
  public get yielded(): boolean {
    return this.hasBeenYielded;
  }

  /** Clears the owner's request after a claim has been attempted. */
  public clearYield(): void {
    this.hasBeenYielded = false;
  }

  /** Confirms to an owner that this standby has not superseded it. */
  public async confirmOwner(epoch: number): Promise<StandbyResult> {
    if (this.context.readEpoch() < epoch && !this.context.isOwnerSuperseded())
      await this.context.catchUp();
    return this.checkOwner(epoch);
  }

  /** Stores records of the owner until they are read in the log. */
  public hold({ epoch, records }: peerMethods.ReplicateRequest): StandbyResult {
    const result = this.checkOwner(epoch);
    if (result.isErr) return result;
    const { body: schema } = this.context;
    const checked = records.map(({ id, body }) => ({ id, epoch, parsed: schema.safeParse(body) }));
    if (checked.some(({ parsed }) => !parsed.success)) return refusal.refuse('bad-request');
    checked.forEach(({ id, parsed }) => {
      if (!this.context.hasAccepted(id)) this.records.add({ id, epoch, body: parsed.data });
    });
    return result;
  }

  /** Accepts an owner's request to claim its shard. The caller must start the claim at once. */
  public acceptYield(epoch: number): StandbyResult {
    const { status } = this.context;
    const result = this.checkOwner(epoch);
    if (result.isErr) return result;
    // During an outage that affects all VMs, and shortly after it, the owner keeps the shard.
    if (!status.available || status.unchangedFor < MINIMUM_UP_BEFORE_YIELD_MS)
      return refusal.refuse('not-ready');
    this.hasBeenYielded = true;
    return result;
  }

  /** Discards a record that has been read in the log. */
  public discard(id: RecordId): void {
    this.records.remove(id);
  }

  /** Removes and returns the records of owners before the given epoch. */
  public takeBefore(epoch: number): readonly standbyRecords.ReplicatedRecord[] {
    return this.records.takeBefore(epoch);
  }

  private checkOwner(epoch: number): StandbyResult {
    const known = Math.max(this.context.latestEpoch(), this.context.readEpoch());
    if (this.context.isOwnerSuperseded() || known > epoch) return refusal.refuse('not-owner');
    if (known < epoch || !this.context.isStandby()) return refusal.refuse('not-ready');
    return trueMyth.Result.ok({});
  }
}
