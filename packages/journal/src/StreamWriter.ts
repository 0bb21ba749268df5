import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';
import type * as appendRate from './AppendRate.js';
import type { RecordId } from './JournalRecord.js';
import type * as logStatus from './LogStatus.js';
import * as refusal from './refuse.js';
import type { StandbyAnswer } from './StandbyLink.js';
import type { RecordPosition } from './Types.js';
import * as writerQueue from './WriterQueue.js';
import type { AppendResult, BodyEntry, MakeRecord, WriterEntry } from './WriterQueue.js';

const RETRY_MS = 20;

/** Lost answers in a row that count as an outage. */
const LOST_LIMIT = 2;

/** Records to append so that older ones may expire. */
export interface Renewal<Body> {
  readonly bodies: readonly Body[];
  readonly checkpoint: MakeRecord;
}

/** The shard that the writer appends to. */
export interface WriterHost<Body> extends writerQueue.RecordSource {
  readonly stream: string;
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
  private readonly queue: writerQueue.WriterQueue<Body>;

  private readonly ending = new AbortController();

  private wake: (() => void) | undefined;

  private hasChanged = false;

  private isRenewalDue = false;

  private lostInARow = 0;

  public constructor(
    private readonly host: WriterHost<Body>,
    private readonly collaborators: WriterCollaborators,
  ) {
    this.queue = new writerQueue.WriterQueue(host);
  }

  /** Appends until stopped. */
  public async run(): Promise<void> {
    const { status, rate } = this.collaborators;
    const subscription = status.onChange(() => this.notify());
    const { signal } = this.ending;
    while (!signal.aborted) {
      if (!status.available) {
        await this.serveOutage();
        if (!status.available) await this.changed();
      } else if (this.queue.isEmpty && !this.isRenewalDue) {
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
    return this.push((settle) => writerQueue.createBodyEntry(body, { replicateInOutage, settle }));
  }

  /** Appends a body that an earlier owner replicated here, under its own id. */
  public adopt(id: RecordId, body: Body): Promise<AppendResult> {
    const options = { id, replicateInOutage: true, isAdopted: true, uncertain: true };
    return this.push((settle) => writerQueue.createBodyEntry(body, { ...options, settle }));
  }

  /** Appends a record that is not a body. */
  public appendControl(make: MakeRecord): Promise<AppendResult> {
    return this.push((settle) => writerQueue.createControlEntry(make, { settle }));
  }

  /** Asks for the records that replace expiring ones. */
  public renew(): void {
    this.isRenewalDue = true;
    this.notify();
  }

  /** Says that a body has been read in the log; without a position, that it is malformed. */
  public settleRead(id: RecordId, position: RecordPosition | undefined): void {
    // The log works when it shows what was appended, whatever became of the answer.
    this.lostInARow = 0;
    this.queue.settleRead(id, position);
  }

  /** Ends the writer. Fenced says that a later claim, or the release, has been read. */
  public stop(isFenced: boolean): void {
    this.ending.abort();
    this.notify();
    this.queue.refuseAll(isFenced);
  }

  private push(
    create: (settle: (result: AppendResult) => void) => WriterEntry<Body>,
  ): Promise<AppendResult> {
    if (this.ending.signal.aborted) return Promise.resolve(refusal.refuse('not-owner'));
    return new Promise((resolve) => {
      this.queue.push(create(resolve));
      this.notify();
    });
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
    this.queue.sweep();
    this.takeRenewal();
    const batch = this.queue.nextBatch();
    if (batch.length === 0) return;
    const startedAt = this.collaborators.clock.now();
    const untouched = batch.filter((entry) => !entry.uncertain);
    batch.forEach((entry) => setUncertain(entry, true));
    const payloads = batch.map((entry) => this.queue.encode(entry));
    const result = await this.appendWithPatience(payloads);
    if (this.ending.signal.aborted) return;
    if (result.isErr) {
      if (result.error.kind !== 'lost') untouched.forEach((entry) => setUncertain(entry, false));
      await this.handleFailure(result.error, batch);
      return;
    }
    this.lostInARow = 0;
    this.collaborators.status.markUp();
    const isRead = await this.host.absorb(result.value, payloads);
    if (!isRead || this.ending.signal.aborted) return;
    this.host.confirm(startedAt);
    this.finishControls(batch, result.value);
    this.queue.sweep();
  }

  private takeRenewal(): void {
    if (!this.isRenewalDue || !this.queue.canRenew) return;
    this.isRenewalDue = false;
    const renewal = this.host.takeRenewal();
    if (renewal === undefined) return;
    const options = { isRenewal: true };
    const bodies = renewal.bodies.map((body) => writerQueue.createBodyEntry(body, options));
    const checkpoint = writerQueue.createControlEntry(renewal.checkpoint, options);
    this.queue.pushFirst([...bodies, checkpoint]);
  }

  private async appendWithPatience(
    payloads: readonly string[],
  ): Promise<platformClient.PlatformResult<number>> {
    const { log, clock: clockSource, appendPatienceMs, status } = this.collaborators;
    const answered = new AbortController();
    const tooLate = clockSource.sleep(appendPatienceMs, answered.signal).then(() => {
      if (!answered.signal.aborted) status.markDown();
      const failure = { kind: 'lost', message: 'The log has not answered in time.' } as const;
      return trueMyth.Result.err<number, platformClient.PlatformFailure>(failure);
    });
    const result = await Promise.race([log.append(this.host.stream, payloads), tooLate]);
    answered.abort();
    return result;
  }

  private async handleFailure(
    failure: platformClient.PlatformFailure,
    batch: readonly WriterEntry<Body>[],
  ): Promise<void> {
    const { status, clock: clockSource } = this.collaborators;
    if (failure.kind === 'unavailable') status.markDown();
    if (failure.kind === 'rate-limited') {
      await clockSource.sleep(failure.retryAfterMs ?? RETRY_MS, this.ending.signal);
    }
    if (failure.kind === 'lost') {
      // The records may have been read in the log before the loss of the answer was noticed.
      if (batch.some((entry) => !entry.done)) this.lostInARow += 1;
      if (this.lostInARow >= LOST_LIMIT) status.markDown();
    }
    if (failure.kind === 'invalid') this.queue.refuseBatch(batch, failure.message);
  }

  private finishControls(batch: readonly WriterEntry<Body>[], offset: number): void {
    const receipt = writerQueue.journaled({ offset, epoch: this.host.epoch() });
    batch.forEach((entry) => {
      if (entry.kind === 'control') this.queue.finish(entry, receipt);
    });
  }

  private async serveOutage(): Promise<void> {
    this.queue
      .entriesForLogOnly()
      .forEach((entry) => this.queue.finish(entry, refusal.refuse('log-unavailable')));
    this.queue.sweep();
    const bodies = this.queue.unheldBodies();
    if (bodies.length === 0) return;
    const records = bodies.map((entry) => ({ id: this.queue.identify(entry), body: entry.body }));
    // When a lost claim names another standby, the one known here may no longer be asked.
    const answer = this.queue.mayHaveClaimed ? 'no-effect' : await this.host.replicate(records);
    if (this.ending.signal.aborted) return;
    bodies.filter((entry) => !entry.done).forEach((entry) => this.takeAnswer(entry, answer));
    this.queue.sweep();
  }

  private takeAnswer(entry: BodyEntry<Body>, answer: StandbyAnswer['kind']): void {
    if (answer === 'granted') {
      this.hold(entry);
      return;
    }
    const kind = answer === 'refused' ? 'not-owner' : 'log-unavailable';
    if (answer === 'unknown') Object.assign(entry, { uncertain: true, shared: true });
    if (!entry.uncertain) this.queue.finish(entry, refusal.refuse(kind));
    else if (!entry.isAdopted) writerQueue.settle(entry, refusal.refuse(kind, undefined, true));
  }

  private hold(entry: BodyEntry<Body>): void {
    // A fold may change what it is given, and the body is still to be appended.
    this.host.applyAhead(this.queue.identify(entry), structuredClone(entry.body));
    Object.assign(entry, { held: true, shared: true, uncertain: true });
    const isPromised = entry.replicateInOutage;
    const receipt = writerQueue.replicated(this.host.epoch());
    const refused = refusal.refuse<never>('log-unavailable', undefined, true);
    writerQueue.settle(entry, isPromised ? receipt : refused);
  }
}

function setUncertain<Body>(entry: WriterEntry<Body>, uncertain: boolean): void {
  Object.assign(entry, { uncertain });
}
