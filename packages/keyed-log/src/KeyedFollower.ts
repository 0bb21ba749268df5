import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as logFailures from './LogFailures.js';
import type { FollowerHandler, PartitionSource, StoredRecord } from './Types.js';

/** Dependencies and settings of a follower. */
export interface KeyedFollowerOptions {
  readonly source: PartitionSource;
  readonly handler: FollowerHandler;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** How long one read waits for new records. */
  readonly waitMs: clock.Milliseconds;
  /** Minimum time between the starts of two reads. Bounds the call rate of a busy partition. */
  readonly minimumIntervalMs: clock.Milliseconds;
  /** Pause after a failed read. */
  readonly retryMs: clock.Milliseconds;
}

/** Follows one partition: delivers its newest records first, then each new record in order. */
export class KeyedFollower implements lifetime.Disposable {
  private readonly stopping = new AbortController();

  private position: number | undefined;

  private failingSince: clock.Milliseconds | undefined;

  private recoveredAt: clock.Milliseconds | undefined;

  private running: Promise<void> | undefined;

  public constructor(private readonly options: KeyedFollowerOptions) {}

  /** Time of the first failed read since the last successful one. Undefined while reads succeed. */
  public get unreachableSince(): clock.Milliseconds | undefined {
    return this.failingSince;
  }

  /** Time at which reads last succeeded again after a failure. Undefined before that. */
  public get reachableAgainAt(): clock.Milliseconds | undefined {
    return this.recoveredAt;
  }

  /** Starts to read the partition in the background. */
  public start(): void {
    this.running = this.run();
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.stopping.abort();
    await this.running;
  }

  private async run(): Promise<void> {
    const { clock: time, minimumIntervalMs, retryMs } = this.options;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const startedAt = time.now();
      const succeeded = await this.read();
      if (signal.aborted) return;
      if (!succeeded) this.noteFailure();
      const pause = succeeded ? minimumIntervalMs - (time.now() - startedAt) : retryMs;
      if (pause > 0) await time.sleep(pause, signal);
    }
  }

  private async read(): Promise<boolean> {
    try {
      return this.position === undefined ? await this.reset() : await this.readChanges();
    } catch (error) {
      this.logError('A read of the log failed unexpectedly.', error);
      return false;
    }
  }

  private async reset(): Promise<boolean> {
    const { source } = this.options;
    const state = await source.list();
    if (state.isErr || this.stopping.signal.aborted) return false;
    this.noteSuccess();
    this.position = state.value.endOffset;
    this.deliverState(state.value.records);
    this.deliver(() => this.options.handler.onCaughtUp());
    return true;
  }

  /**
   * Delivers a listing. If the handler throws, finds the records that it cannot take by delivering
   * them one by one, and delivers the listing without them.
   */
  private deliverState(records: readonly StoredRecord[]): void {
    const { handler } = this.options;
    if (this.deliver(() => handler.onReset(records))) return;
    const usable = records.filter((record) => this.deliverRecord(record));
    this.deliver(() => handler.onReset(usable));
  }

  private deliverRecord(record: StoredRecord): boolean {
    return this.deliver(() => this.options.handler.onRecord(record), record);
  }

  /** Runs a step of the handler. If it throws, logs the error and returns false. */
  private deliver(step: () => void, record?: StoredRecord): boolean {
    try {
      step();
      return true;
    } catch (error) {
      this.logError('Records of the log could not be handled.', error, record);
      return false;
    }
  }

  private logError(message: string, error: unknown, record?: StoredRecord): void {
    const { logger, source } = this.options;
    logger.error(message, {
      kind: source.partition.topic,
      reason: String(error),
      ...(record === undefined ? {} : { offset: record.offset }),
    });
  }

  private async readChanges(): Promise<boolean> {
    const { source, waitMs } = this.options;
    const changes = await source.readChanges(this.position ?? 0, waitMs);
    if (this.stopping.signal.aborted) return false;
    if (changes.isErr) {
      if (changes.error.kind !== logFailures.LOG_FAILURES.EXPIRED) return false;
      this.noteSuccess();
      this.position = undefined;
      return true;
    }
    this.noteSuccess();
    changes.value.records.forEach((record) => this.deliverRecord(record));
    this.position = changes.value.nextOffset;
    this.deliver(() => this.options.handler.onCaughtUp());
    return true;
  }

  /**
   * Called before the records of a read are delivered, because how long an entry may be missing
   * depends on when the log became reachable again.
   */
  private noteSuccess(): void {
    if (this.failingSince === undefined) return;
    const { clock: time, logger, source } = this.options;
    const spanMs = Math.round(time.now() - this.failingSince);
    logger.info('The log can be read again.', { kind: source.partition.topic, spanMs });
    this.recoveredAt = time.now();
    this.failingSince = undefined;
  }

  private noteFailure(): void {
    if (this.failingSince !== undefined) return;
    const { clock: time, logger, source } = this.options;
    this.failingSince = time.now();
    logger.warn('The log cannot be read.', { kind: source.partition.topic });
  }
}
