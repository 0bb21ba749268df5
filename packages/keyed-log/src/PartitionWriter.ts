import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as logFailures from './LogFailures.js';
import * as logSpace from './LogSpace.js';
import type {
  AppendReceipt,
  KeyedLog,
  KeyedRecord,
  LogFailure,
  LogFailureKind,
  LogResult,
  PartitionName,
} from './Types.js';

/** Maximum records and bytes of one append; further records wait for the next one. */
const MAXIMUM_RECORDS = 256;
const MAXIMUM_BYTES = 1_500_000;

/** Failures of appends that certainly had no effect. */
const HAD_NO_EFFECT: ReadonlySet<LogFailureKind> = new Set([
  logFailures.LOG_FAILURES.UNAVAILABLE,
  logFailures.LOG_FAILURES.FULL,
]);

/** The failure of appends that were pending when the writer was disposed of. */
const WRITER_DISPOSED: LogFailure = {
  kind: logFailures.LOG_FAILURES.LOST,
  message: 'The process stops.',
};

/** Dependencies and settings of a writer. */
export interface PartitionWriterOptions {
  readonly log: KeyedLog;
  readonly partition: PartitionName;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Prefix of the producer ids of this writer. Unique for each run of the process. */
  readonly producer: string;
  /** Time between attempts of one append. */
  readonly retryMs: clock.Milliseconds;
  /** Learns from the appends of this writer whether the log has room. */
  readonly space?: logSpace.LogSpace;
}

interface QueuedRecords {
  readonly records: readonly KeyedRecord[];
  readonly expiresAt: clock.Milliseconds;
  readonly settle: (result: LogResult<AppendReceipt>) => void;
}

/**
 * Appends records to one partition. Records that arrive during an append are batched into the next
 * one. An append whose response was lost is retried with the same identity, so that it takes effect
 * only once.
 */
export class PartitionWriter implements lifetime.Disposable {
  private queue: QueuedRecords[] = [];

  private readonly stopping = new AbortController();

  private isRunning = false;

  private sequence = 0;

  private producerGeneration = 0;

  public constructor(private readonly options: PartitionWriterOptions) {}

  /**
   * Appends a record. At the time limit, resolves with the failure of the last attempt. The record
   * may be stored even then.
   */
  public append(
    record: KeyedRecord,
    timeoutMs: clock.Milliseconds,
  ): Promise<LogResult<AppendReceipt>> {
    return this.appendTogether([record], timeoutMs);
  }

  /** Appends records atomically and at consecutive offsets. */
  public appendTogether(
    records: readonly KeyedRecord[],
    timeoutMs: clock.Milliseconds,
  ): Promise<LogResult<AppendReceipt>> {
    return new Promise((settle) => {
      const expiresAt = this.options.clock.now() + timeoutMs;
      this.queue.push({ records, expiresAt, settle });
      if (!this.isRunning) this.run();
    });
  }

  /** Stops the retries. Pending appends fail with `lost`. */
  public dispose(): void {
    this.stopping.abort();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.queue.length > 0) await this.appendBatch(this.takeBatch());
    this.isRunning = false;
  }

  private takeBatch(): readonly QueuedRecords[] {
    let bytes = 0;
    let records = 0;
    const end = this.queue.findIndex((entry, index) => {
      bytes += sizeOf(entry.records);
      records += entry.records.length;
      return index > 0 && (bytes > MAXIMUM_BYTES || records > MAXIMUM_RECORDS);
    });
    return this.queue.splice(0, end < 0 ? this.queue.length : end);
  }

  private async appendBatch(batch: readonly QueuedRecords[]): Promise<void> {
    const { clock: time, retryMs } = this.options;
    const records = batch.flatMap((entry) => entry.records);
    let unsettled = batch;
    while (!this.stopping.signal.aborted) {
      const result = await this.tryAppend(records);
      this.noteSpace(result);
      if (result.isOk) {
        this.sequence += 1;
        settleAppended(batch, unsettled, result.value);
        return;
      }
      unsettled = this.settleExpired(unsettled, result.error);
      this.queue = [...this.settleExpired(this.queue, result.error)];
      if (this.isFinal(result.error)) {
        unsettled.forEach(({ settle }) => settle(trueMyth.Result.err(result.error)));
        return;
      }
      // If no caller waits for the batch any more, it may still have taken effect. Its sequence
      // number must not be reused for other records, so these are appended under a new producer.
      // While there are none, an append whose response was lost is retried.
      if (unsettled.length === 0 && HAD_NO_EFFECT.has(result.error.kind)) {
        this.startNewProducer();
        return;
      }
      if (unsettled.length === 0 && this.queue.length > 0) {
        this.startNewProducer();
        return;
      }
      const pauseMs = isFull(result.error) ? logSpace.FULL_RETRY_MS : retryMs;
      await time.sleep(pauseMs, this.stopping.signal);
    }
    unsettled.forEach(({ settle }) => settle(trueMyth.Result.err(WRITER_DISPOSED)));
  }

  /** Makes one attempt. An append that throws may have taken effect, and does not end the writes. */
  private async tryAppend(records: readonly KeyedRecord[]): Promise<LogResult<AppendReceipt>> {
    const { log, logger, partition } = this.options;
    try {
      return await log.append(partition, records, { identity: this.identity() });
    } catch (error) {
      const message = String(error);
      logger.error('An append failed unexpectedly.', { kind: partition.topic, reason: message });
      return trueMyth.Result.err({ kind: logFailures.LOG_FAILURES.LOST, message });
    }
  }

  private identity(): { readonly producer: string; readonly sequence: number } {
    return {
      producer: `${this.options.producer}.${this.producerGeneration}`,
      sequence: this.sequence,
    };
  }

  /** Switches to a producer id that is new to the log, so no earlier sequence number applies. */
  private startNewProducer(): void {
    this.producerGeneration += 1;
    this.sequence = 0;
  }

  private isFinal(error: LogFailure): boolean {
    if (error.kind !== logFailures.LOG_FAILURES.FENCED) return false;
    this.startNewProducer();
    return true;
  }

  private noteSpace(result: LogResult<AppendReceipt>): void {
    if (result.isOk) this.options.space?.noteAppend();
    else if (isFull(result.error)) this.options.space?.noteRejection();
  }

  private settleExpired(
    batch: readonly QueuedRecords[],
    error: LogFailure,
  ): readonly QueuedRecords[] {
    const now = this.options.clock.now();
    const expired = batch.filter(({ expiresAt }) => expiresAt <= now);
    expired.forEach(({ settle }) => settle(trueMyth.Result.err(error)));
    if (expired.length > 0) {
      const { logger, partition } = this.options;
      logger.warn('Records could not be appended in time.', {
        kind: partition.topic,
        count: expired.length,
        reason: error.message,
      });
    }
    return batch.filter(({ expiresAt }) => expiresAt > now);
  }
}

/** Resolves each unsettled entry of an appended batch with the offsets of its own records. */
function settleAppended(
  batch: readonly QueuedRecords[],
  unsettled: readonly QueuedRecords[],
  receipt: AppendReceipt,
): void {
  let { firstOffset } = receipt;
  batch.forEach((entry) => {
    const endOffset = firstOffset + entry.records.length;
    if (unsettled.includes(entry)) entry.settle(trueMyth.Result.ok({ firstOffset, endOffset }));
    firstOffset = endOffset;
  });
}

function sizeOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}

function isFull({ kind }: LogFailure): boolean {
  return kind === logFailures.LOG_FAILURES.FULL;
}
