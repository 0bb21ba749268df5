import type * as platformClient from '@limpettack/platform-client';
import type * as zod from 'zod';
import * as journalRecord from './JournalRecord.js';
import type { HolderRecord, JournalRecord, RecordId } from './JournalRecord.js';
import * as recordKinds from './RecordKinds.js';
import type { Ownership, RecordPosition } from './Types.js';

const { BODY, CLAIM, RELEASE } = recordKinds.RECORD_KINDS;

/** Processes whose highest sequence number is remembered, so that repeats are recognised. */
const REMEMBERED_INCARNATIONS = 16;

/** What a record of the stream means to every reader. */
export type ReadOutcome<Body> =
  /** A body that counts. */
  | { kind: 'body'; id: RecordId; body: Body; position: RecordPosition }
  /** A valid claim, or the claim that a checkpoint made known after a gap. */
  | { kind: 'claim'; ownership: Ownership; handedOver: boolean; offset: number }
  /** The owner has given the shard up. */
  | { kind: 'release'; offset: number; successor: string | undefined }
  /** A checkpoint of a claim that was known. */
  | { kind: 'checkpoint'; offset: number; completeFrom: number }
  /** A record of a writer that was not the owner at this offset. */
  | { kind: 'void'; id: RecordId; offset: number }
  /** A record that counted at an earlier offset. */
  | { kind: 'repeat'; id: RecordId; offset: number }
  /** A record that cannot be understood. The id is known when only the body is malformed. */
  | { kind: 'skipped'; reason: 'unknown-kind' | 'malformed'; offset: number; id?: RecordId }
  /** A record that was read before. */
  | { kind: 'old'; offset: number };

/**
 * The rule by which every reader of a shard's stream decides what counts. It depends on nothing but
 * the records in the order of their offsets.
 *
 * - A claim is valid iff its epoch is the current one plus 1.
 * - Any other record counts iff its epoch is the current one and the shard is not released.
 * - A body counts once: sequence numbers of a process grow along the stream, so one at or below the
 *   highest that counted is a repeat. Void records leave that mark alone, so that a new owner may
 *   append them again with their ids.
 *
 * A reader that starts after expired records does not know the epoch there. No writer can use an
 * epoch whose claim is not in the stream, so a record of a higher epoch than any seen proves that
 * its claim was among the expired ones, and the reader adopts that epoch. It knows the holders from
 * the first claim or checkpoint on. It is complete when it meets a checkpoint whose `completeFrom`
 * is at or after its start. Limits: a record of a fenced writer that lies between its start and
 * the first record of the later owner counts for this reader only, as does a second claim of an
 * epoch whose first claim has expired, and a repeat of an expired record. Each needs a paused writer
 * or a lost answer within the last moments before the start.
 */
export class ShardReader<Body> {
  private next: number;

  private currentEpoch = 0;

  private holders: Ownership | undefined;

  private isReleased = false;

  private namedSuccessor: string | undefined;

  private incomplete: boolean;

  private readonly marks = new Map<string, number>();

  public constructor(
    private readonly shard: number,
    private readonly bodySchema: zod.ZodType<Body>,
    private readonly firstOffset = 0,
  ) {
    this.next = firstOffset;
    this.incomplete = firstOffset > 0;
  }

  /** The offset after the last record read. */
  public get nextOffset(): number {
    return this.next;
  }

  /** The epoch in force after the last record read; 0 before the first claim. */
  public get epoch(): number {
    return this.currentEpoch;
  }

  /** The latest valid claim; nothing before the first one, or after a gap until one is met. */
  public get ownership(): Ownership | undefined {
    return this.holders;
  }

  /** Whether the owner of the current epoch has given the shard up. */
  public get released(): boolean {
    return this.isReleased;
  }

  /** The VM that the release names. */
  public get successor(): string | undefined {
    return this.namedSuccessor;
  }

  /** Whether records that may still matter had expired before they could be read. */
  public get hasGap(): boolean {
    return this.incomplete;
  }

  /** Whether the body with this id, or a later one of the same process, has counted. */
  public hasCounted(id: RecordId): boolean {
    return id.sequence <= (this.marks.get(id.incarnation) ?? -1);
  }

  /** Reads the record at the next offset. Records before it are ignored. */
  public feed(log: platformClient.LogRecord): ReadOutcome<Body> {
    const { offset } = log;
    if (offset < this.next) return { kind: 'old', offset };
    this.next = offset + 1;
    const decoded = journalRecord.decodeRecord(log.payload);
    if (decoded.outcome !== 'known') return { kind: 'skipped', reason: decoded.outcome, offset };
    const { record } = decoded;
    if (record.shard !== this.shard) return { kind: 'skipped', reason: 'malformed', offset };
    if (record.kind === CLAIM) return this.readClaim(record, offset);
    this.adoptEpoch(record);
    if (record.epoch !== this.currentEpoch || this.isReleased) {
      return { kind: 'void', id: record.id, offset };
    }
    return this.readCurrent(record, log);
  }

  private readClaim(record: HolderRecord, offset: number): ReadOutcome<Body> {
    const isNext = record.epoch === this.currentEpoch + 1;
    const isAfterGap = this.firstOffset > 0 && record.epoch > this.currentEpoch;
    if (!isNext && !isAfterGap) return { kind: 'void', id: record.id, offset };
    const handedOver = this.isReleased;
    this.currentEpoch = record.epoch;
    this.holders = journalRecord.ownershipOf(record);
    this.isReleased = false;
    this.namedSuccessor = undefined;
    return { kind: 'claim', ownership: this.holders, handedOver, offset };
  }

  private adoptEpoch(record: JournalRecord): void {
    if (this.firstOffset === 0 || record.epoch <= this.currentEpoch) return;
    this.currentEpoch = record.epoch;
    this.holders = undefined;
    this.isReleased = false;
    this.namedSuccessor = undefined;
  }

  private readCurrent(
    record: Exclude<JournalRecord, { kind: 'claim' }>,
    log: platformClient.LogRecord,
  ): ReadOutcome<Body> {
    if (record.kind === BODY) return this.readBody(record, log);
    if (record.kind === RELEASE) {
      this.isReleased = true;
      this.namedSuccessor = record.successor;
      return { kind: 'release', offset: log.offset, successor: record.successor };
    }
    if (record.completeFrom >= this.firstOffset) this.incomplete = false;
    if (this.holders !== undefined) {
      return { kind: 'checkpoint', offset: log.offset, completeFrom: record.completeFrom };
    }
    this.holders = journalRecord.ownershipOf(record);
    const { holders } = this;
    return { kind: 'claim', ownership: holders, handedOver: false, offset: log.offset };
  }

  private readBody(
    record: Extract<JournalRecord, { kind: 'body' }>,
    log: platformClient.LogRecord,
  ): ReadOutcome<Body> {
    const { id, epoch } = record;
    const { offset, ageMs } = log;
    if (this.hasCounted(id)) return { kind: 'repeat', id, offset };
    this.mark(id);
    const body = this.bodySchema.safeParse(record.body);
    if (!body.success) return { kind: 'skipped', reason: 'malformed', offset, id };
    return { kind: 'body', id, body: body.data, position: { offset, epoch, ageMs } };
  }

  private mark(id: RecordId): void {
    this.marks.delete(id.incarnation);
    this.marks.set(id.incarnation, id.sequence);
    if (this.marks.size <= REMEMBERED_INCARNATIONS) return;
    const [oldest] = this.marks.keys();
    if (oldest !== undefined) this.marks.delete(oldest);
  }
}
