import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as logFailures from './LogFailures.js';
import type {
  AppendReceipt,
  KeyedLog,
  KeyedRecord,
  LogFailure,
  LogResult,
  PartitionName,
} from './Types.js';

/** Records and bytes of one append at most; the rest waits for the next one. */
const RECORDS_PER_APPEND = 256;
const BYTES_PER_APPEND = 1_500_000;

/** Why records were not appended when the writer has been disposed of. */
const STOPPED: LogFailure = {
  kind: logFailures.LOG_FAILURES.LOST,
  message: 'The process stops.',
};

/** What a writer needs. */
export interface PartitionWriterOptions {
  readonly log: KeyedLog;
  readonly partition: PartitionName;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Unique for each life of the process. */
  readonly producer: string;
  /** Time between two attempts of one append. */
  readonly retryMs: clock.Milliseconds;
}

interface WaitingRecords {
  readonly records: readonly KeyedRecord[];
  readonly giveUpAt: clock.Milliseconds;
  readonly settle: (result: LogResult<AppendReceipt>) => void;
}

/**
 * Appends records to one partition. Records that come while an append is under way share the next
 * one, and an append whose answer is lost is repeated under its identity until it is answered.
 */
export class PartitionWriter implements lifetime.Disposable {
  private waiting: WaitingRecords[] = [];

  private readonly stopping = new AbortController();

  private isRunning = false;

  private sequence = 0;

  private life = 0;

  public constructor(private readonly options: PartitionWriterOptions) {}

  /**
   * Appends a record. A failure after the time limit leaves open whether the record is kept,
   * unless its kind says that nothing was done.
   */
  public append(
    record: KeyedRecord,
    timeoutMs: clock.Milliseconds,
  ): Promise<LogResult<AppendReceipt>> {
    return this.appendTogether([record], timeoutMs);
  }

  /** Appends records that stand one behind the other in the partition, all or none. */
  public appendTogether(
    records: readonly KeyedRecord[],
    timeoutMs: clock.Milliseconds,
  ): Promise<LogResult<AppendReceipt>> {
    return new Promise((settle) => {
      const giveUpAt = this.options.clock.now() + timeoutMs;
      this.waiting.push({ records, giveUpAt, settle });
      if (!this.isRunning) this.run();
    });
  }

  /** Gives up what could not be appended yet. */
  public dispose(): void {
    this.stopping.abort();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.waiting.length > 0) await this.appendBatch(this.takeBatch());
    this.isRunning = false;
  }

  private takeBatch(): readonly WaitingRecords[] {
    let bytes = 0;
    let records = 0;
    const end = this.waiting.findIndex((entry, index) => {
      bytes += sizeOf(entry.records);
      records += entry.records.length;
      return index > 0 && (bytes > BYTES_PER_APPEND || records > RECORDS_PER_APPEND);
    });
    return this.waiting.splice(0, end < 0 ? this.waiting.length : end);
  }

  private async appendBatch(batch: readonly WaitingRecords[]): Promise<void> {
    const { clock: time, log, partition, retryMs } = this.options;
    const records = batch.flatMap((entry) => entry.records);
    let open = batch;
    while (!this.stopping.signal.aborted) {
      const result = await log.append(partition, records, { identity: this.identity() });
      if (result.isOk) {
        this.sequence += 1;
        settleInOrder(batch, open, result.value);
        return;
      }
      open = this.settleExpired(open, result.error);
      if (this.isFinal(result.error)) {
        open.forEach(({ settle }) => settle(trueMyth.Result.err(result.error)));
        return;
      }
      // An append that may have taken effect keeps its number until it is answered, also when
      // nobody waits for it any more: the number must not stand for other records.
      if (open.length === 0 && result.error.kind === logFailures.LOG_FAILURES.UNAVAILABLE) {
        this.startNewLife();
        return;
      }
      if (open.length === 0 && this.waiting.length > 0) {
        this.startNewLife();
        return;
      }
      await time.sleep(retryMs, this.stopping.signal);
    }
    open.forEach(({ settle }) => settle(trueMyth.Result.err(STOPPED)));
  }

  private identity(): { readonly producer: string; readonly sequence: number } {
    return { producer: `${this.options.producer}.${this.life}`, sequence: this.sequence };
  }

  /** Goes on under a fresh producer, for which the log expects no particular number. */
  private startNewLife(): void {
    this.life += 1;
    this.sequence = 0;
  }

  private isFinal(error: LogFailure): boolean {
    const { FENCED, FULL } = logFailures.LOG_FAILURES;
    if (error.kind === FENCED) this.startNewLife();
    return error.kind === FENCED || error.kind === FULL;
  }

  private settleExpired(
    batch: readonly WaitingRecords[],
    error: LogFailure,
  ): readonly WaitingRecords[] {
    const now = this.options.clock.now();
    const expired = batch.filter(({ giveUpAt }) => giveUpAt <= now);
    expired.forEach(({ settle }) => settle(trueMyth.Result.err(error)));
    if (expired.length > 0) {
      const { logger, partition } = this.options;
      logger.warn('Records could not be appended in time.', {
        kind: partition.topic,
        count: expired.length,
        reason: error.message,
      });
    }
    return batch.filter(({ giveUpAt }) => giveUpAt > now);
  }
}

/** Tells each waiting append where its own records lie in a batch that was appended. */
function settleInOrder(
  batch: readonly WaitingRecords[],
  open: readonly WaitingRecords[],
  receipt: AppendReceipt,
): void {
  let { firstOffset } = receipt;
  batch.forEach((entry) => {
    const endOffset = firstOffset + entry.records.length;
    if (open.includes(entry)) entry.settle(trueMyth.Result.ok({ firstOffset, endOffset }));
    firstOffset = endOffset;
  });
}

function sizeOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}
