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

/** How an append came out. */
export type AppendResult = trueMyth.Result<AppendReceipt, errors.Fault>;

interface EntryProgress {
  /** It may already count, or be held by the standby: it must be appended in the end. */
  uncertain: boolean;
  /** The log has it, or it never can be taken. */
  done: boolean;
  /** Tells who waits for it. Absent once told. */
  settle?: ((result: AppendResult) => void) | undefined;
  /** It repeats what is about to expire. */
  readonly isRenewal: boolean;
}

/** A body on its way into the log. */
export interface BodyEntry<Body> extends EntryProgress {
  readonly kind: 'body';
  readonly body: Body;
  /** Length of the body as text. */
  readonly characters: number;
  readonly replicateInOutage: boolean;
  /** It was replicated by an earlier owner, so only its end in the log or at a standby is told. */
  readonly isAdopted: boolean;
  /** Given when it is first sent anywhere. */
  id?: RecordId | undefined;
  /** The standby may hold it, and a later owner may append it. */
  shared: boolean;
  /** The standby holds it, and the state has it. */
  held: boolean;
}

/** Makes a control record under the epoch in force when it is first sent. */
export type MakeRecord = (id: RecordId, epoch: number) => JournalRecord;

/** A claim, release or checkpoint on its way into the log. */
export interface ControlEntry extends EntryProgress {
  readonly kind: 'control';
  readonly make: MakeRecord;
  record?: JournalRecord;
}

/** A record on its way into the log. */
export type WriterEntry<Body> = BodyEntry<Body> | ControlEntry;

/** Who gives the records their ids and epochs. */
export interface RecordSource {
  readonly shard: number;
  epoch(): number;
  createId(): RecordId;
}

/** Makes an entry for a body. */
export function createBodyEntry<Body>(
  body: Body,
  options: Partial<BodyEntry<Body>>,
): BodyEntry<Body> {
  const characters = JSON.stringify(body).length;
  const purpose = { replicateInOutage: false, isAdopted: false, isRenewal: false };
  const progress = { uncertain: false, shared: false, held: false, done: false };
  return { kind: 'body', body, characters, ...purpose, ...progress, ...options };
}

/** Makes an entry for a record that is not a body. */
export function createControlEntry(make: MakeRecord, options: Partial<ControlEntry>): ControlEntry {
  return { kind: 'control', make, isRenewal: false, uncertain: false, done: false, ...options };
}

/** The records of one owned shard that are not known to count yet, in the order of the stream. */
export class WriterQueue<Body> {
  private entries: WriterEntry<Body>[] = [];

  private readonly sent = new Map<string, BodyEntry<Body>>();

  /** Number of coming batches that hold a single record, after a refused batch. */
  private singles = 0;

  public constructor(private readonly source: RecordSource) {}

  /** Whether nothing waits. */
  public get isEmpty(): boolean {
    return this.entries.length === 0;
  }

  /**
   * Whether records that repeat the state may go first now. Nothing may be on its way that the
   * state lacks, and their ids must follow those already given, since a lower id behind a higher
   * one is a repeat.
   */
  public get canRenew(): boolean {
    return !this.entries.some(
      (entry) =>
        entry.uncertain || entry.isRenewal || (entry.kind === 'body' && entry.id !== undefined),
    );
  }

  /** Whether a claim that may have taken effect is on its way. */
  public get mayHaveClaimed(): boolean {
    return this.entries.some((entry) => entry.kind === 'control' && entry.uncertain);
  }

  /** Adds an entry at the end. */
  public push(entry: WriterEntry<Body>): void {
    this.entries.push(entry);
    if (entry.kind === 'body' && entry.id !== undefined) {
      this.sent.set(journalRecord.keyOf(entry.id), entry);
    }
  }

  /** Adds entries before all others. */
  public pushFirst(entries: readonly WriterEntry<Body>[]): void {
    this.entries.unshift(...entries);
  }

  /** Forgets what is done. */
  public sweep(): void {
    this.entries = this.entries.filter((entry) => !entry.done);
  }

  /** The entries that go together in the next append. A control record goes alone. */
  public nextBatch(): WriterEntry<Body>[] {
    const [first] = this.entries;
    if (first === undefined) return [];
    const isSingle = first.kind === 'control' || this.singles > 0;
    this.singles = Math.max(0, this.singles - 1);
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

  /** The bodies that neither the log nor the standby is known to have. */
  public unheldBodies(): BodyEntry<Body>[] {
    const bodies = this.entries.filter((entry) => entry.kind === 'body');
    return bodies.filter((entry) => !entry.held && !entry.done);
  }

  /** The entries that nothing outside has seen and that need the log. */
  public entriesForLogOnly(): WriterEntry<Body>[] {
    return this.entries.filter((entry) => {
      if (entry.uncertain || entry.done) return false;
      return entry.kind === 'control' || !entry.replicateInOutage;
    });
  }

  /** The text of an entry as it is appended now. */
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

  /** The id of a body, given now when it has none. */
  public identify(entry: BodyEntry<Body>): RecordId {
    const id = entry.id ?? this.source.createId();
    Object.assign(entry, { id });
    this.sent.set(journalRecord.keyOf(id), entry);
    return id;
  }

  /** Says that a body has been read in the log; without a position, that it is malformed. */
  public settleRead(id: RecordId, position: RecordPosition | undefined): void {
    const entry = this.sent.get(journalRecord.keyOf(id));
    if (entry === undefined) return;
    if (position === undefined) this.finish(entry, refusal.refuse('internal', 'It is malformed.'));
    else this.finish(entry, journaled(position));
  }

  /** Says that an entry needs no further work. */
  public finish(entry: WriterEntry<Body>, result: AppendResult): void {
    Object.assign(entry, { done: true });
    if (entry.kind === 'body' && entry.id !== undefined) {
      this.sent.delete(journalRecord.keyOf(entry.id));
    }
    settle(entry, result);
  }

  /** After a refused batch: its records go one by one, and one that is refused alone is dropped. */
  public refuseBatch(batch: readonly WriterEntry<Body>[], message: string): void {
    if (batch.length > 1) {
      this.singles = batch.length;
      return;
    }
    batch.forEach((entry) => {
      this.finish(entry, refusal.refuse('internal', message));
      // A checkpoint may not stand for bodies that could not be appended.
      if (entry.isRenewal) this.dropRenewal(message);
    });
  }

  /**
   * Ends all entries. When a later claim has been read, whatever was sent to the log alone is void,
   * since it would have been read before the claim.
   */
  public refuseAll(isFenced: boolean): void {
    const { entries } = this;
    this.entries = [];
    this.sent.clear();
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

/** Tells who waits for an entry, once. */
export function settle<Body>(entry: WriterEntry<Body>, result: AppendResult): void {
  const { settle: tell } = entry;
  Object.assign(entry, { settle: undefined });
  tell?.(result);
}

/** The receipt for a record that the log has. */
export function journaled({
  offset,
  epoch,
}: Pick<RecordPosition, 'offset' | 'epoch'>): AppendResult {
  const durability = durabilities.DURABILITIES.JOURNALED;
  return trueMyth.Result.ok({ durability, offset, epoch });
}

/** The receipt for a record that only the standby has. */
export function replicated(epoch: number): AppendResult {
  const durability = durabilities.DURABILITIES.REPLICATED;
  return trueMyth.Result.ok({ durability, offset: -1, epoch });
}
