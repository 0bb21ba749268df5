import type * as errors from '@limpettack/errors';
import * as trueMyth from 'true-myth';
import * as durabilities from './Durabilities.js';
import * as journalRecord from './JournalRecord.js';
import type { JournalRecord, RecordId } from './JournalRecord.js';
import * as recordKinds from './RecordKinds.js';
import * as refusal from './refuse.js';
import type { AppendReceipt, RecordPosition } from './Types.js';

const BATCH_RECORDS = 256;
const BATCH_CHARACTERS = 512 * 1024;

/** The result of an append. */
export type AppendResult = trueMyth.Result<AppendReceipt, errors.Fault>;

/** How far the append of an entry has progressed. */
interface EntryProgress {
  /** The log or the standby may already hold the record, so it must eventually be appended. */
  uncertain: boolean;
  /** The record is in the log, or can never be appended. */
  done: boolean;
  /** Passes the result to the caller that waits for it. Absent once called. */
  settle?: ((result: AppendResult) => void) | undefined;
  /** The record repeats one that is about to expire. */
  readonly isRenewal: boolean;
}

/** A body that waits to be appended. */
export interface BodyEntry<Body> extends EntryProgress {
  readonly kind: 'body';
  readonly body: Body;
  /** Length of the body as JSON text, in characters. */
  readonly characters: number;
  readonly replicateInOutage: boolean;
  /**
   * An earlier owner replicated the body to this process. An outage does not settle it as refused:
   * it waits until the log or a standby holds it.
   */
  readonly isAdopted: boolean;
  /** Assigned when the body is first sent to the log or the standby. */
  id?: RecordId | undefined;
  /** The standby may hold the body, and a later owner may append it. */
  shared: boolean;
  /** The standby holds the body, and it is applied to the state. */
  held: boolean;
}

/** Creates a control record. The epoch is the one that is current when the record is first sent. */
export type MakeRecord = (id: RecordId, epoch: number) => JournalRecord;

/** A claim, release or checkpoint that waits to be appended. */
export interface ControlEntry extends EntryProgress {
  readonly kind: 'control';
  readonly make: MakeRecord;
  record?: JournalRecord;
}

/** A record that waits to be appended. */
export type WriterEntry<Body> = BodyEntry<Body> | ControlEntry;

/** The shard that provides the ids and epochs of records. */
export interface RecordSource {
  readonly shard: number;
  epoch(): number;
  createId(): RecordId;
}

/** Creates an entry for a body. */
export function createBodyEntry<Body>(
  body: Body,
  options: Partial<BodyEntry<Body>>,
): BodyEntry<Body> {
  const characters = JSON.stringify(body).length;
  const purpose = { replicateInOutage: false, isAdopted: false, isRenewal: false };
  const progress = { uncertain: false, shared: false, held: false, done: false };
  return { kind: 'body', body, characters, ...purpose, ...progress, ...options };
}

/** Creates an entry for a claim, release or checkpoint. */
export function createControlEntry(make: MakeRecord, options: Partial<ControlEntry>): ControlEntry {
  return { kind: 'control', make, isRenewal: false, uncertain: false, done: false, ...options };
}

/** The records of one owned shard that are not known to be in the log yet, in append order. */
export class WriterQueue<Body> {
  private entries: WriterEntry<Body>[] = [];

  private readonly sentBodies = new Map<string, BodyEntry<Body>>();

  /**
   * How many of the next batches must contain only one record, because a larger batch was refused.
   */
  private singleRecordBatches = 0;

  public constructor(private readonly source: RecordSource) {}

  /** Whether the queue holds no entries. */
  public get isEmpty(): boolean {
    return this.entries.length === 0;
  }

  /**
   * Whether a renewal may be put at the head of the queue now. No other renewal may be queued. No
   * queued record may have been sent, because the state that is renewed may lack it. No queued body
   * may have an id yet: the renewal would get higher ids, and a lower id after a higher one is
   * treated as a repeat.
   */
  public get canRenew(): boolean {
    return !this.entries.some(
      (entry) =>
        entry.uncertain || entry.isRenewal || (entry.kind === 'body' && entry.id !== undefined),
    );
  }

  /** Whether the queue holds a control record, such as a claim, that may already be in the log. */
  public get mayHaveClaimed(): boolean {
    return this.entries.some((entry) => entry.kind === 'control' && entry.uncertain);
  }

  /** Adds an entry to the end. */
  public push(entry: WriterEntry<Body>): void {
    this.entries.push(entry);
    if (entry.kind === 'body' && entry.id !== undefined) {
      this.sentBodies.set(journalRecord.keyOf(entry.id), entry);
    }
  }

  /** Adds entries before all others. */
  public pushFirst(entries: readonly WriterEntry<Body>[]): void {
    this.entries.unshift(...entries);
  }

  /** Removes the entries that are done. */
  public removeDone(): void {
    this.entries = this.entries.filter((entry) => !entry.done);
  }

  /** Returns the entries of the next append. A control record is appended alone. */
  public nextBatch(): WriterEntry<Body>[] {
    const [first] = this.entries;
    if (first === undefined) return [];
    const isSingle = first.kind === 'control' || this.singleRecordBatches > 0;
    this.singleRecordBatches = Math.max(0, this.singleRecordBatches - 1);
    if (isSingle) return [first];
    const batch: WriterEntry<Body>[] = [];
    let characters = 0;
    for (const entry of this.entries) {
      if (entry.kind === 'control' || batch.length === BATCH_RECORDS) break;
      characters += entry.characters;
      if (batch.length > 0 && characters > BATCH_CHARACTERS) break;
      batch.push(entry);
    }
    return batch;
  }

  /** Returns the bodies that neither the log nor the standby is known to hold. */
  public unheldBodies(): BodyEntry<Body>[] {
    const bodies = this.entries.filter((entry) => entry.kind === 'body');
    return bodies.filter((entry) => !entry.held && !entry.done);
  }

  /** Returns the entries that require the log and were sent neither to it nor to the standby. */
  public logOnlyEntries(): WriterEntry<Body>[] {
    return this.entries.filter((entry) => {
      if (entry.uncertain || entry.done) return false;
      return entry.kind === 'control' || !entry.replicateInOutage;
    });
  }

  /** Returns the text that is appended for an entry under the current epoch. */
  public encode(entry: WriterEntry<Body>): string {
    const { source } = this;
    if (entry.kind === 'control') {
      const record = entry.record ?? entry.make(source.createId(), source.epoch());
      Object.assign(entry, { record });
      return journalRecord.encodeRecord(record);
    }
    const id = this.identify(entry);
    const { body } = entry;
    const kind = recordKinds.RECORD_KINDS.BODY;
    return journalRecord.encodeRecord({
      id,
      shard: source.shard,
      epoch: source.epoch(),
      kind,
      body,
    });
  }

  /** Returns the id of a body and assigns one if needed. */
  public identify(entry: BodyEntry<Body>): RecordId {
    const id = entry.id ?? this.source.createId();
    Object.assign(entry, { id });
    this.sentBodies.set(journalRecord.keyOf(id), entry);
    return id;
  }

  /**
   * Reports that a body has been read in the log. An undefined position means that the body is
   * malformed.
   */
  public settleRead(id: RecordId, position: RecordPosition | undefined): void {
    const entry = this.sentBodies.get(journalRecord.keyOf(id));
    if (entry === undefined) return;
    if (position === undefined)
      this.finish(entry, refusal.refuse('internal', 'The body is malformed.'));
    else this.finish(entry, journaledReceipt(position));
  }

  /** Marks an entry as done and passes the result to its caller. */
  public finish(entry: WriterEntry<Body>, result: AppendResult): void {
    Object.assign(entry, { done: true });
    if (entry.kind === 'body' && entry.id !== undefined) {
      this.sentBodies.delete(journalRecord.keyOf(entry.id));
    }
    settle(entry, result);
  }

  /**
   * Handles a batch that the log refused. Its records are appended one by one, and a record that is
   * refused alone is dropped.
   */
  public refuseBatch(batch: readonly WriterEntry<Body>[], message: string): void {
    if (batch.length > 1) {
      this.singleRecordBatches = batch.length;
      return;
    }
    batch.forEach((entry) => {
      this.finish(entry, refusal.refuse('internal', message));
      // The checkpoint must not cover bodies that could not be appended.
      if (entry.isRenewal) this.dropRenewal(message);
    });
  }

  /**
   * Refuses all entries. `isFenced` states that a later claim or the release has been read. Records
   * that were sent only to the log are void then, because a valid one would have been read earlier.
   */
  public refuseAll(isFenced: boolean): void {
    const { entries } = this;
    this.entries = [];
    this.sentBodies.clear();
    entries.forEach((entry) => {
      const isShared = entry.kind === 'body' && entry.shared;
      const mayCount = isShared || (entry.uncertain && !isFenced);
      settle(entry, refusal.refuse('not-owner', undefined, mayCount));
    });
  }

  private dropRenewal(message: string): void {
    const renewals = this.entries.filter((entry) => entry.isRenewal && !entry.uncertain);
    renewals.forEach((entry) => this.finish(entry, refusal.refuse('internal', message)));
  }
}

/** Passes the result to the caller that waits for an entry, at most once. */
export function settle<Body>(entry: WriterEntry<Body>, result: AppendResult): void {
  const { settle: resolve } = entry;
  Object.assign(entry, { settle: undefined });
  resolve?.(result);
}

/** Returns the receipt for a record that is in the log. */
export function journaledReceipt({
  offset,
  epoch,
}: Pick<RecordPosition, 'offset' | 'epoch'>): AppendResult {
  const durability = durabilities.DURABILITIES.JOURNALED;
  return trueMyth.Result.ok({ durability, offset, epoch });
}

/** Returns the receipt for a record that only the owner and the standby hold. */
export function replicatedReceipt(epoch: number): AppendResult {
  const durability = durabilities.DURABILITIES.REPLICATED;
  return trueMyth.Result.ok({ durability, offset: -1, epoch });
}
