import type * as platformClient from '@limpettack/platform-client';
import type * as zod from 'zod';
import * as journalRecord from './JournalRecord.js';
import type { HolderRecord, JournalRecord, RecordId } from './JournalRecord.js';
import * as recordKinds from './RecordKinds.js';
import type { Ownership, RecordPosition } from './Types.js';

const { BODY, CLAIM, RELEASE } = recordKinds.RECORD_KINDS;

/** Maximum number of processes whose highest sequence number is kept to detect repeats. */
const MAXIMUM_TRACKED_INCARNATIONS = 16;

/** How a record is interpreted. Every reader reaches the same outcome. */
export type ReadOutcome<Body> =
  /** An accepted body. */
  | { kind: 'body'; id: RecordId; body: Body; position: RecordPosition }
  /** A valid claim, or the claim that a checkpoint repeated after a gap. */
  | { kind: 'claim'; ownership: Ownership; handedOver: boolean; offset: number }
  /** The owner has released the shard. */
  | { kind: 'release'; offset: number; successor: string | undefined }
  /** A checkpoint of a claim that is already known. */
  | { kind: 'checkpoint'; offset: number; completeFrom: number }
  /** A record of a writer that was not the owner at this offset; it has no effect. */
  | { kind: 'void'; id: RecordId; offset: number }
  /** A record that was accepted at an earlier offset. */
  | { kind: 'repeat'; id: RecordId; offset: number }
  /** A record that cannot be decoded. The id is set when only the body is malformed. */
  | { kind: 'skipped'; reason: 'unknown-kind' | 'malformed'; offset: number; id?: RecordId }
  /** A record that was already read. */
  | { kind: 'old'; offset: number };

/**
 * Decides which records of a shard's stream are accepted. The decision depends only on the records
 * in the order of their offsets, so all readers agree.
 *
 * - A claim is valid if and only if its epoch is the current one plus 1.
 * - Any other record is accepted if and only if its epoch is the current one and the shard is not
 *   released. Otherwise it is void.
 * - A body is accepted once. The sequence numbers of a process grow along the stream, so a body
 *   whose number is not above the highest accepted one is a repeat. Void records do not raise that
 *   number, so that a new owner can append them again with their ids.
 *
 * A reader that starts after expired records does not know the current epoch. No writer can use an
 * epoch whose claim is not in the stream. A record with a higher epoch than all earlier ones
 * therefore proves that its claim has expired, and the reader adopts that epoch. The reader knows
 * the holders once it reads a claim or checkpoint. It is complete once it reads a checkpoint whose
 * `completeFrom` is at or after its start.
 *
 * Limitations: unlike other readers, a reader that starts after expired records accepts a record of
 * a fenced writer between its start and the first record of the later owner, a second claim of an
 * epoch whose first claim has expired, and a repeat of an expired record. Each case requires a
 * paused writer or a lost response shortly before the start.
 */
export class ShardReader<Body> {
  private next: number;

  private currentEpoch = 0;

  private currentOwnership: Ownership | undefined;

  private isReleased = false;

  private namedSuccessor: string | undefined;

  private isIncomplete: boolean;

  private readonly highestSequences = new Map<string, number>();

  public constructor(
    private readonly shard: number,
    private readonly bodySchema: zod.ZodType<Body>,
    private readonly firstOffset = 0,
  ) {
    this.next = firstOffset;
    this.isIncomplete = firstOffset > 0;
  }

  /** The offset after the last record read. */
  public get nextOffset(): number {
    return this.next;
  }

  /** The current epoch after the last record read; 0 before the first claim. */
  public get epoch(): number {
    return this.currentEpoch;
  }

  /** The latest valid claim; undefined until a claim, or after a gap a checkpoint, is read. */
  public get ownership(): Ownership | undefined {
    return this.currentOwnership;
  }

  /** Whether the owner of the current epoch has released the shard. */
  public get released(): boolean {
    return this.isReleased;
  }

  /** The name of the VM that should claim the released shard, if the release names one. */
  public get successor(): string | undefined {
    return this.namedSuccessor;
  }

  /** Whether records that may still be needed had expired before they could be read. */
  public get hasGap(): boolean {
    return this.isIncomplete;
  }

  /** Whether the body with this id, or a later one of the same process, was accepted. */
  public hasAccepted(id: RecordId): boolean {
    return id.sequence <= (this.highestSequences.get(id.incarnation) ?? -1);
  }

  /** Processes the record at the next offset. Records below that offset are ignored. */
  public feed(logRecord: platformClient.LogRecord): ReadOutcome<Body> {
    const { offset } = logRecord;
    if (offset < this.next) return { kind: 'old', offset };
    this.next = offset + 1;
    const decoded = journalRecord.decodeRecord(logRecord.payload);
    if (decoded.outcome !== 'known') return { kind: 'skipped', reason: decoded.outcome, offset };
    const { record } = decoded;
    if (record.shard !== this.shard) return { kind: 'skipped', reason: 'malformed', offset };
    if (record.kind === CLAIM) return this.readClaim(record, offset);
    this.adoptEpoch(record);
    if (record.epoch !== this.currentEpoch || this.isReleased) {
      return { kind: 'void', id: record.id, offset };
    }
    return this.readCurrent(record, logRecord);
  }

  private readClaim(record: HolderRecord, offset: number): ReadOutcome<Body> {
    const isNext = record.epoch === this.currentEpoch + 1;
    const isAfterGap = this.firstOffset > 0 && record.epoch > this.currentEpoch;
    if (!isNext && !isAfterGap) return { kind: 'void', id: record.id, offset };
    const handedOver = this.isReleased;
    this.currentEpoch = record.epoch;
    this.currentOwnership = journalRecord.ownershipOf(record);
    this.isReleased = false;
    this.namedSuccessor = undefined;
    return { kind: 'claim', ownership: this.currentOwnership, handedOver, offset };
  }

  private adoptEpoch(record: JournalRecord): void {
    if (this.firstOffset === 0 || record.epoch <= this.currentEpoch) return;
    this.currentEpoch = record.epoch;
    this.currentOwnership = undefined;
    this.isReleased = false;
    this.namedSuccessor = undefined;
  }

  private readCurrent(
    record: Exclude<JournalRecord, { kind: 'claim' }>,
    logRecord: platformClient.LogRecord,
  ): ReadOutcome<Body> {
    if (record.kind === BODY) return this.readBody(record, logRecord);
    if (record.kind === RELEASE) {
      this.isReleased = true;
      this.namedSuccessor = record.successor;
      return { kind: 'release', offset: logRecord.offset, successor: record.successor };
    }
    if (record.completeFrom >= this.firstOffset) this.isIncomplete = false;
    if (this.currentOwnership !== undefined) {
      return { kind: 'checkpoint', offset: logRecord.offset, completeFrom: record.completeFrom };
    }
    this.currentOwnership = journalRecord.ownershipOf(record);
    const { currentOwnership } = this;
    return {
      kind: 'claim',
      ownership: currentOwnership,
      handedOver: false,
      offset: logRecord.offset,
    };
  }

  private readBody(
    record: Extract<JournalRecord, { kind: 'body' }>,
    logRecord: platformClient.LogRecord,
  ): ReadOutcome<Body> {
    const { id, epoch } = record;
    const { offset, ageMs } = logRecord;
    if (this.hasAccepted(id)) return { kind: 'repeat', id, offset };
    this.trackSequence(id);
    const body = this.bodySchema.safeParse(record.body);
    if (!body.success) return { kind: 'skipped', reason: 'malformed', offset, id };
    return { kind: 'body', id, body: body.data, position: { offset, epoch, ageMs } };
  }

  private trackSequence(id: RecordId): void {
    this.highestSequences.delete(id.incarnation);
    this.highestSequences.set(id.incarnation, id.sequence);
    if (this.highestSequences.size <= MAXIMUM_TRACKED_INCARNATIONS) return;
    const [oldest] = this.highestSequences.keys();
    if (oldest !== undefined) this.highestSequences.delete(oldest);
  }
}
