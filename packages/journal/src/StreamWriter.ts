import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';
import * as trueMyth from 'true-myth';
import type * as appendRateLimiter from './AppendRateLimiter.js';
import type { RecordId } from './JournalRecord.js';
import type * as logStatus from './LogStatus.js';
import * as refusal from './refuse.js';
import type { StandbyReply } from './StandbyLink.js';
import type { RecordPosition } from './Types.js';
import * as writerQueue from './WriterQueue.js';
import type { AppendResult, BodyEntry, MakeRecord, WriterEntry } from './WriterQueue.js';

const RETRY_MS = 20;

/** Number of consecutive lost responses that is treated as an outage of the log. */
const LOST_RESPONSES_LIMIT = 2;

/** Records to append in place of earlier ones that are about to expire. */
export interface Renewal<Body> {
  readonly bodies: readonly Body[];
  readonly checkpoint: MakeRecord;
}

/** The owned shard that the writer appends to. */
export interface WriterHost<Body> extends writerQueue.RecordSource {
  readonly stream: string;
  /** Applies appended records and reads the stream if needed. Returns false when the log fails. */
  applyAppended(offset: number, payloads: readonly string[]): Promise<boolean>;
  replicate(records: readonly { id: RecordId; body: Body }[]): Promise<StandbyReply['kind']>;
  applyAhead(id: RecordId, body: Body): void;
  /** Called when an append that started at the given clock time succeeded. */
  confirm(startedAt: clock.Milliseconds): void;
  takeRenewal(): Renewal<Body> | undefined;
}

/** Dependencies and settings of a writer. */
export interface WriterDependencies {
  readonly log: platformClient.LogClient;
  readonly clock: clock.Clock;
  readonly status: logStatus.LogStatus;
  readonly rate: appendRateLimiter.AppendRateLimiter;
  /** How long an append may take before it is treated as lost. */
  readonly appendTimeoutMs: clock.Milliseconds;
}

/**
 * Appends the records of one owned shard in order. Only one append is in flight; records that
 * arrive meanwhile are batched into the next one. A record that may already be in the log stays at
 * the head of the queue until it has been read there.
 */
export class StreamWriter<Body> {
  private readonly queue: writerQueue.WriterQueue<Body>;

  private readonly stopping = new AbortController();

  private wake: (() => void) | undefined;

  private hasChanged = false;

  private isRenewalDue = false;

  private consecutiveLosses = 0;

  public constructor(
    private readonly host: WriterHost<Body>,
    private readonly dependencies: WriterDependencies,
  ) {
    this.queue = new writerQueue.WriterQueue(host);
  }

  /** Appends queued records until the writer is stopped. */
  public async run(): Promise<void> {
    const { status, rate } = this.dependencies;
    const subscription = status.onChange(() => this.notify());
    const { signal } = this.stopping;
    while (!signal.aborted) {
      if (!status.available) {
        await this.serveOutage();
        if (!status.available) await this.waitForChange();
      } else if (this.queue.isEmpty && !this.isRenewalDue) {
        await this.waitForChange();
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

  /** Appends a body that an earlier owner replicated to this process, with its original id. */
  public adopt(id: RecordId, body: Body): Promise<AppendResult> {
    const options = { id, replicateInOutage: true, isAdopted: true, uncertain: true };
    return this.push((settle) => writerQueue.createBodyEntry(body, { ...options, settle }));
  }

  /** Appends a claim, release or checkpoint. */
  public appendControl(make: MakeRecord): Promise<AppendResult> {
    return this.push((settle) => writerQueue.createControlEntry(make, { settle }));
  }

  /** Schedules the append of records that replace expiring ones. */
  public renew(): void {
    this.isRenewalDue = true;
    this.notify();
  }

  /**
   * Reports that a body has been read in the log. An undefined position means that the body is
   * malformed.
   */
  public settleRead(id: RecordId, position: RecordPosition | undefined): void {
    // Reading an appended record proves that the log works, even if the response was lost.
    this.consecutiveLosses = 0;
    this.queue.settleRead(id, position);
  }

  /** Stops the writer. `isFenced` states that a later claim or the release has been read. */
  public stop(isFenced: boolean): void {
    this.stopping.abort();
    this.notify();
    this.queue.refuseAll(isFenced);
  }

  private push(
    create: (settle: (result: AppendResult) => void) => WriterEntry<Body>,
  ): Promise<AppendResult> {
    if (this.stopping.signal.aborted) return Promise.resolve(refusal.refuse('not-owner'));
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

  private async waitForChange(): Promise<void> {
    if (!this.hasChanged && !this.stopping.signal.aborted) {
      await new Promise<void>((resolve) => {
        this.wake = resolve;
      });
    }
    this.hasChanged = false;
  }

  private async appendBatch(): Promise<void> {
    this.queue.removeDone();
    this.takeRenewal();
    const batch = this.queue.nextBatch();
    if (batch.length === 0) return;
    const startedAt = this.dependencies.clock.now();
    const newlyUncertain = batch.filter((entry) => !entry.uncertain);
    batch.forEach((entry) => setUncertain(entry, true));
    const payloads = batch.map((entry) => this.queue.encode(entry));
    const result = await this.appendWithTimeout(payloads);
    if (this.stopping.signal.aborted) return;
    if (result.isErr) {
      if (result.error.kind !== 'lost')
        newlyUncertain.forEach((entry) => setUncertain(entry, false));
      await this.handleFailure(result.error, batch);
      return;
    }
    this.consecutiveLosses = 0;
    this.dependencies.status.markUp();
    const isRead = await this.host.applyAppended(result.value, payloads);
    if (!isRead || this.stopping.signal.aborted) return;
    this.host.confirm(startedAt);
    this.finishControls(batch, result.value);
    this.queue.removeDone();
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

  private async appendWithTimeout(
    payloads: readonly string[],
  ): Promise<platformClient.PlatformResult<number>> {
    const { log, clock: clockSource, appendTimeoutMs, status } = this.dependencies;
    const completed = new AbortController();
    const timeout = clockSource.sleep(appendTimeoutMs, completed.signal).then(() => {
      if (!completed.signal.aborted) status.markDown();
      const failure = { kind: 'lost', message: 'The log did not respond in time.' } as const;
      return trueMyth.Result.err<number, platformClient.PlatformFailure>(failure);
    });
    const result = await Promise.race([log.append(this.host.stream, payloads), timeout]);
    completed.abort();
    return result;
  }

  private async handleFailure(
    failure: platformClient.PlatformFailure,
    batch: readonly WriterEntry<Body>[],
  ): Promise<void> {
    const { status, clock: clockSource } = this.dependencies;
    if (failure.kind === 'unavailable') status.markDown();
    if (failure.kind === 'rate-limited') {
      await clockSource.sleep(failure.retryAfterMs ?? RETRY_MS, this.stopping.signal);
    }
    if (failure.kind === 'lost') {
      // The records may have been read in the log before the response was found to be lost.
      if (batch.some((entry) => !entry.done)) this.consecutiveLosses += 1;
      if (this.consecutiveLosses >= LOST_RESPONSES_LIMIT) status.markDown();
    }
    if (failure.kind === 'invalid') this.queue.refuseBatch(batch, failure.message);
  }

  private finishControls(batch: readonly WriterEntry<Body>[], offset: number): void {
    const receipt = writerQueue.journaledReceipt({ offset, epoch: this.host.epoch() });
    batch.forEach((entry) => {
      if (entry.kind === 'control') this.queue.finish(entry, receipt);
    });
  }

  private async serveOutage(): Promise<void> {
    this.queue
      .logOnlyEntries()
      .forEach((entry) => this.queue.finish(entry, refusal.refuse('log-unavailable')));
    this.queue.removeDone();
    const bodies = this.queue.unheldBodies();
    if (bodies.length === 0) return;
    const records = bodies.map((entry) => ({ id: this.queue.identify(entry), body: entry.body }));
    // A claim whose response was lost may name another standby, so the known one is not used.
    const reply = this.queue.mayHaveClaimed ? 'no-effect' : await this.host.replicate(records);
    if (this.stopping.signal.aborted) return;
    bodies.filter((entry) => !entry.done).forEach((entry) => this.applyReply(entry, reply));
    this.queue.removeDone();
  }

  private applyReply(entry: BodyEntry<Body>, reply: StandbyReply['kind']): void {
    if (reply === 'granted') {
      this.markHeld(entry);
      return;
    }
    const kind = reply === 'refused' ? 'not-owner' : 'log-unavailable';
    if (reply === 'unknown') Object.assign(entry, { uncertain: true, shared: true });
    if (!entry.uncertain) this.queue.finish(entry, refusal.refuse(kind));
    else if (!entry.isAdopted) writerQueue.settle(entry, refusal.refuse(kind, undefined, true));
  }

  private markHeld(entry: BodyEntry<Body>): void {
    // The fold may modify the body that it is given, and the original is still to be appended.
    this.host.applyAhead(this.queue.identify(entry), structuredClone(entry.body));
    Object.assign(entry, { held: true, shared: true, uncertain: true });
    const isReplicaEnough = entry.replicateInOutage;
    const receipt = writerQueue.replicatedReceipt(this.host.epoch());
    const refused = refusal.refuse<never>('log-unavailable', undefined, true);
    writerQueue.settle(entry, isReplicaEnough ? receipt : refused);
  }
}

function setUncertain<Body>(entry: WriterEntry<Body>, uncertain: boolean): void {
  Object.assign(entry, { uncertain });
}
