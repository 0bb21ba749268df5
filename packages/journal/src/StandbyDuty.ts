import type * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type { RecordId } from './JournalRecord.js';
import type * as logStatus from './LogStatus.js';
import type * as peerMethods from './peerMethods.js';
import * as refusal from './refuse.js';
import * as standbyRecords from './StandbyRecords.js';

/** How long the log must have been up here before this standby takes a shard from its owner. */
const YIELD_UP_MS = 1_000;

type Answer = trueMyth.Result<object, errors.Fault>;

/** What the duty goes by. */
export interface StandbyFacts<Body> {
  readonly body: zod.ZodType<Body>;
  readonly status: logStatus.LogStatus;
  /** The latest epoch known, read or told. */
  latestEpoch(): number;
  /** The latest epoch read. */
  readEpoch(): number;
  isStandby(): boolean;
  /** Whether this process owns the shard, has begun to claim it, or has read its release. */
  isPastOwner(): boolean;
  hasCounted(id: RecordId): boolean;
  catchUp(): Promise<unknown>;
}

/** What a standby does for the owner of a shard. */
export class StandbyDuty<Body> {
  private readonly records = new standbyRecords.StandbyRecords();

  private hasBeenYielded = false;

  public constructor(private readonly facts: StandbyFacts<Body>) {}

  /** Whether the owner has asked this standby to claim the shard. */
  public get yielded(): boolean {
    return this.hasBeenYielded;
  }

  /** Forgets that the owner asked, since a claim has been tried. */
  public clearYield(): void {
    this.hasBeenYielded = false;
  }

  /** Answers an owner that asks for this standby's word. */
  public async vouch(epoch: number): Promise<Answer> {
    if (this.facts.readEpoch() < epoch && !this.facts.isPastOwner()) await this.facts.catchUp();
    return this.answer(epoch);
  }

  /** Holds records of the owner until they are read in the log. */
  public hold({ epoch, records }: peerMethods.ReplicateRequest): Answer {
    const answer = this.answer(epoch);
    if (answer.isErr) return answer;
    const { body: schema } = this.facts;
    const checked = records.map(({ id, body }) => ({ id, epoch, parsed: schema.safeParse(body) }));
    if (checked.some(({ parsed }) => !parsed.success)) return refusal.refuse('bad-request');
    checked.forEach(({ id, parsed }) => {
      if (!this.facts.hasCounted(id)) this.records.add({ id, epoch, body: parsed.data });
    });
    return answer;
  }

  /** Accepts an owner's request to claim its shard. The claim must follow at once. */
  public acceptYield(epoch: number): Answer {
    const { status } = this.facts;
    const answer = this.answer(epoch);
    if (answer.isErr) return answer;
    // In an outage for all, or as it ends, the pair stays as it is.
    if (!status.available || status.unchangedFor < YIELD_UP_MS) return refusal.refuse('not-ready');
    this.hasBeenYielded = true;
    return answer;
  }

  /** Forgets a record that the log holds. */
  public forget(id: RecordId): void {
    this.records.forget(id);
  }

  /** Returns the records of owners before the given epoch and forgets them. */
  public takeBefore(epoch: number): readonly standbyRecords.ReplicatedRecord[] {
    return this.records.takeBefore(epoch);
  }

  private answer(epoch: number): Answer {
    const known = Math.max(this.facts.latestEpoch(), this.facts.readEpoch());
    if (this.facts.isPastOwner() || known > epoch) return refusal.refuse('not-owner');
    if (known < epoch || !this.facts.isStandby()) return refusal.refuse('not-ready');
    return trueMyth.Result.ok({});
  }
}
