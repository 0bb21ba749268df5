import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';
import type * as appendRate from './AppendRate.js';
import * as durabilities from './Durabilities.js';
import * as journalRecord from './JournalRecord.js';
import type { JournalRecord, RecordId } from './JournalRecord.js';
import type * as logStatus from './LogStatus.js';
import * as recordKinds from './RecordKinds.js';
import * as refusal from './refuse.js';
import type { StandbyAnswer } from './StandbyLink.js';
import type { AppendReceipt, RecordPosition } from './Types.js';

const BATCH_RECORDS = 256;
const BATCH_CHARACTERS = 512 * 1024;
const RETRY_MS = 20;

/** Lost answers in a row that count as an outage. */
const LOST_LIMIT = 2;

/** How an append came out. */
export type AppendResult = trueMyth.Result<AppendReceipt, errors.Fault>;

/** A body on its way into the log. */
export interface WriterEntry<Body> {
  readonly kind: 'body';
  readonly body: Body;
  /** Length of the body as text. */
  readonly characters: number;
  readonly replicateInOutage: boolean;
  /** Given when it is first sent anywhere. */
  id?: RecordId;
  /** It may already count, or be held by the standby: it must be appended in the end. */
  uncertain: boolean;
  /** The standby holds it, and the state has it. */
  held: boolean;
  /** The log has it, or it never can be taken. */
  done: boolean;
  settle?: (result: AppendResult) => void;
}

interface ControlEntry {
  readonly kind: 'control';
  readonly make: (id: RecordId, epoch: number) => JournalRecord;
  record?: JournalRecord;
  uncertain: boolean;
  done: boolean;
  settle?: (result: AppendResult) => void;
}

type Entry<Body> = WriterEntry<Body> | ControlEntry;

/** Records to append so that older ones may expire. */
export interface Renewal<Body> {
  readonly bodies: readonly Body[];
  readonly checkpoint: ControlEntry['make'];
}

/** The shard that the writer appends to. */
export interface WriterHost<Body> {
  readonly shard: number;
  readonly stream: string;
  epoch(): number;
  createId(): RecordId;
  /** Reads until the records of an append have been read. False when the log fails meanwhile. */
  absorb(offset: number, payloads: readonly string[]): Promise<boolean>;
  replicate(records: readonly { id: RecordId; body: Body }[]): Promise<StandbyAnswer['kind']>;
  applyAhead(id: RecordId, body: Body): void;
  /** The log took an append that began at this reading of the clock. */
  confirm(startedAt: clock.Milliseconds): void;
  takeRenewal(): Renewal<Body> | undefined;
}

/** What a writer needs from the process. */
export interface WriterCollaborators {
  readonly log: platformClient.LogClient;
  readonly clock: clock.Clock;
  readonly status: logStatus.LogStatus;
  readonly rate: appendRate.AppendRate;
  /** How long an append may take before it is handled as lost. */
  readonly appendPatienceMs: clock.Milliseconds;
}

/**
 * Appends the records of one owned shard in order: one append in flight, the rest wait and go
 * together in the next. A record that may have been taken stays first in the queue until it counts.
 */
export class StreamWriter<Body> {
  private readonly queue: Entry<Body>[] = [];

  private readonly sent = new Map<string, WriterEntry<Body>>();

  private readonly ending = new AbortController();

  private wake: (() => void) | undefined;

  private hasChanged = false;

  private renewalDue = false;

  private lostInARow = 0;

  public constructor(
    private readonly host: WriterHost<Body>,
    private readonly collaborators: WriterCollaborators,
  ) {}

  /** Appends until stopped. */
  public async run(): Promise<void> {
    const { status, rate } = this.collaborators;
    const subscription = status.onChange(() => this.notify());
    const { signal } = this.ending;
    while (!signal.aborted) {
      if (!status.available) {
        await this.serveOutage();
        if (!status.available) await this.changed();
      } else if (this.queue.length === 0 && !this.renewalDue) {
        await this.changed();
      } else {
        await rate.acquire(signal);
        if (!signal.aborted && status.available) await this.appendBatch();
      }
    }
    subscription.dispose();
  }

  /** Appends a body. */
  public append(body: Body, replicateInOutage: boolean): Promise<AppendResult> {
    return new Promise((resolve) => {
      const entry = createEntry(body, replicateInOutage);
      entry.settle = resolve;
      this.push(entry);
    });
  }

  /** Appends a body that an earlier owner replicated here, under its own id. */
  public adopt(id: RecordId, body: Body): Promise<AppendResult> {
    return new Promise((resolve) => {
      const entry: WriterEntry<Body> = { ...createEntry(body, true), id, uncertain: true };
      entry.settle = resolve;
      this.sent.set(journalRecord.keyOf(id), entry);
      this.push(entry);
    });
  }

  /** Appends a record that is not a body. */
  public appendControl(make: ControlEntry['make']): Promise<AppendResult> {
    return new Promise((resolve) => {
      this.push({ kind: 'control', make, uncertain: false, done: false, settle: resolve });
    });
  }

  /** Asks for the records that replace expiring ones. */
  public renew(): void {
    this.renewalDue = true;
    this.notify();
  }

  /** Says that a body has been read in the log, or that it can never be taken. */
  public settleRead(id: RecordId, position: RecordPosition | undefined): void {
    const key = journalRecord.keyOf(id);
    const entry = this.sent.get(key);
    if (entry === undefined) return;
    this.sent.delete(key);
    entry.done = true;
    if (position === undefined) {
      settle(entry, refusal.refuse('internal', 'The record is malformed.'));
      return;
    }
    const { offset, epoch } = position;
    const durability = durabilities.DURABILITIES.JOURNALED;
    settle(entry, trueMyth.Result.ok({ durability, offset, epoch }));
  }

  /** Ends the writer because the shard is lost, or the process ends. */
  public stop(): void {
    this.ending.abort();
    this.notify();
    this.queue.splice(0).forEach((entry) => {
      settle(entry, refusal.refuse('not-owner', undefined, entry.uncertain));
    });
    this.sent.clear();
  }

  private push(entry: Entry<Body>): void {
    if (this.ending.signal.aborted) {
      settle(entry, refusal.refuse('not-owner'));
      return;
    }
    this.queue.push(entry);
    this.notify();
  }

  private notify(): void {
    this.hasChanged = true;
    this.wake?.();
    this.wake = undefined;
  }

  private async changed(): Promise<void> {
    if (!this.hasChanged && !this.ending.signal.aborted) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    this.hasChanged = false;
  }

  private async appendBatch(): Promise<void> {
    this.dropDone();
    this.takeRenewal();
    const batch = this.takeBatch();
    if (batch.length === 0) return;
    const { clock: clockSource } = this.collaborators;
    const startedAt = clockSource.now();
    const payloads = batch.map((entry) => this.encode(entry));
    const result = await this.appendWithPatience(payloads);
    if (this.ending.signal.aborted) return;
    if (result.isErr) {
      await this.handleFailure(result.error, batch);
      return;
    }
    this.lostInARow = 0;
    batch.forEach(markUncertain);
    this.collaborators.status.markUp();
    const isRead = await this.host.absorb(result.value, payloads);
    if (!isRead || this.ending.signal.aborted) return;
    this.host.confirm(startedAt);
    this.settleControls(batch, result.value);
    this.dropDone();
  }

  private dropDone(): void {
    const open = this.queue.filter((entry) => !entry.done);
    this.queue.splice(0, this.queue.length, ...open);
  }

  private takeRenewal(): void {
    // The new records repeat the state, so nothing may be on its way that the state lacks. Their
    // ids must also follow those already given, since a lower id behind a higher one is a repeat.
    if (!this.renewalDue || this.queue.some(hasBegun)) return;
    this.renewalDue = false;
    const renewal = this.host.takeRenewal();
    if (renewal === undefined) return;
    const { checkpoint } = renewal;
    const bodies = renewal.bodies.map((body) => createEntry(body, false));
    this.queue.unshift(...bodies, {
      kind: 'control',
      make: checkpoint,
      uncertain: false,
      done: false,
    });
  }

  private takeBatch(): Entry<Body>[] {
    const [first] = this.queue;
    if (first === undefined) return [];
    if (first.kind === 'control') return [first];
    const batch: Entry<Body>[] = [];
    let characters = 0;
    for (const entry of this.queue) {
      if (entry.kind === 'control' || batch.length === BATCH_RECORDS) break;
      characters += entry.characters;
      if (batch.length > 0 && characters > BATCH_CHARACTERS) break;
      batch.push(entry);
    }
    return batch;
  }

  private encode(entry: Entry<Body>): string {
    const { host } = this;
    if (entry.kind === 'control') {
      const record = entry.record ?? entry.make(host.createId(), host.epoch());
      Object.assign(entry, { record });
      return journalRecord.encodeRecord(record);
    }
    const id = this.identify(entry);
    const { body } = entry;
    const kind = recordKinds.RECORD_KINDS.BODY;
    return journalRecord.encodeRecord({ id, shard: host.shard, epoch: host.epoch(), kind, body });
  }

  private identify(entry: WriterEntry<Body>): RecordId {
    const id = entry.id ?? this.host.createId();
    Object.assign(entry, { id });
    this.sent.set(journalRecord.keyOf(id), entry);
    return id;
  }

  private async appendWithPatience(
    payloads: readonly string[],
  ): Promise<platformClient.PlatformResult<number>> {
    const { log, clock: clockSource, appendPatienceMs } = this.collaborators;
    const patience = new AbortController();
    const tooLate = clockSource.sleep(appendPatienceMs, patience.signal).then(() => {
      const failure = { kind: 'lost', message: 'The log has not answered in time.' } as const;
      return trueMyth.Result.err<number, platformClient.PlatformFailure>(failure);
    });
    const result = await Promise.race([log.append(this.host.stream, payloads), tooLate]);
    patience.abort();
    return result;
  }

  private async handleFailure(
    failure: platformClient.PlatformFailure,
    batch: readonly Entry<Body>[],
  ): Promise<void> {
    const { status, clock: clockSource } = this.collaborators;
    if (failure.kind === 'unavailable') {
      status.markDown();
      return;
    }
    if (failure.kind === 'rate-limited') {
      await clockSource.sleep(failure.retryAfterMs ?? RETRY_MS, this.ending.signal);
      return;
    }
    if (failure.kind === 'lost') {
      batch.forEach(markUncertain);
      this.lostInARow += 1;
      if (this.lostInARow >= LOST_LIMIT) status.markDown();
      return;
    }
    this.refuseMalformed(batch, failure.message);
  }

  private refuseMalformed(batch: readonly Entry<Body>[], message: string): void {
    // Records that may have been taken stay in the queue: one that is certain goes in their place.
    batch.forEach((entry) => {
      if (entry.uncertain) return;
      this.drop(entry, refusal.refuse('internal', message));
    });
  }

  private drop(entry: Entry<Body>, result: AppendResult): void {
    Object.assign(entry, { done: true });
    if (entry.kind === 'body' && entry.id !== undefined) {
      this.sent.delete(journalRecord.keyOf(entry.id));
    }
    settle(entry, result);
  }

  private settleControls(batch: readonly Entry<Body>[], offset: number): void {
    const epoch = this.host.epoch();
    const durability = durabilities.DURABILITIES.JOURNALED;
    batch.forEach((entry) => {
      if (entry.kind !== 'control') return;
      this.drop(entry, trueMyth.Result.ok({ durability, offset, epoch }));
    });
  }

  private async serveOutage(): Promise<void> {
    this.refuseInOutage();
    this.dropDone();
    const waiting = this.queue.filter((entry) => entry.kind === 'body' && !entry.held);
    const bodies = waiting as WriterEntry<Body>[];
    if (bodies.length === 0) return;
    const records = bodies.map((entry) => ({ id: this.identify(entry), body: entry.body }));
    const answer = await this.host.replicate(records);
    if (this.ending.signal.aborted) return;
    bodies.filter((entry) => !entry.done).forEach((entry) => this.takeAnswer(entry, answer));
    this.dropDone();
  }

  private refuseInOutage(): void {
    this.queue.forEach((entry) => {
      if (entry.uncertain || entry.done) return;
      if (entry.kind === 'body' && entry.replicateInOutage) return;
      this.drop(entry, refusal.refuse('log-unavailable'));
    });
  }

  private takeAnswer(entry: WriterEntry<Body>, answer: StandbyAnswer['kind']): void {
    if (answer === 'granted') {
      this.hold(entry);
      return;
    }
    const kind = answer === 'refused' ? 'not-owner' : 'log-unavailable';
    Object.assign(entry, { uncertain: entry.uncertain || answer === 'unknown' });
    if (entry.uncertain) settle(entry, refusal.refuse(kind, undefined, true));
    else this.drop(entry, refusal.refuse(kind));
  }

  private hold(entry: WriterEntry<Body>): void {
    if (entry.id === undefined) return;
    // A fold may change what it is given, and the body is still to be appended.
    this.host.applyAhead(entry.id, structuredClone(entry.body));
    Object.assign(entry, { held: true, uncertain: true });
    if (!entry.replicateInOutage) {
      settle(entry, refusal.refuse('log-unavailable', undefined, true));
      return;
    }
    const durability = durabilities.DURABILITIES.REPLICATED;
    settle(entry, trueMyth.Result.ok({ durability, offset: -1, epoch: this.host.epoch() }));
  }
}

function createEntry<Body>(body: Body, replicateInOutage: boolean): WriterEntry<Body> {
  const characters = JSON.stringify(body).length;
  const progress = { uncertain: false, held: false, done: false };
  return { kind: 'body', body, characters, replicateInOutage, ...progress };
}

function hasBegun<Body>(entry: Entry<Body>): boolean {
  return entry.uncertain || (entry.kind === 'body' && entry.id !== undefined);
}

function markUncertain<Body>(entry: Entry<Body>): void {
  Object.assign(entry, { uncertain: true });
}

function settle<Body>(entry: Entry<Body>, result: AppendResult): void {
  const { settle: tell } = entry;
  Object.assign(entry, { settle: undefined });
  tell?.(result);
}
