import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as logFailures from './LogFailures.js';
import * as readAllNewest from './readAllNewest.js';
import type { FollowerHandler, KeyedLog, PartitionName } from './Types.js';

/** Settings of a follower. */
export interface KeyedFollowerOptions {
  readonly log: KeyedLog;
  readonly partition: PartitionName;
  readonly handler: FollowerHandler;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** How long one read waits for news. */
  readonly waitMs: clock.Milliseconds;
  /** The least time between two reads: it bounds the calls that a busy partition causes. */
  readonly minimumIntervalMs: clock.Milliseconds;
  /** Time to wait after a failed read. */
  readonly retryMs: clock.Milliseconds;
}

/** Follows one partition: its newest records first, then each new record in order. */
export class KeyedFollower implements lifetime.Disposable {
  private readonly stopping = new AbortController();

  private position: number | undefined;

  private failingSince: clock.Milliseconds | undefined;

  private recoveredAt: clock.Milliseconds | undefined;

  private running: Promise<void> | undefined;

  public constructor(private readonly options: KeyedFollowerOptions) {}

  /** Since when each read has failed; nothing while reads succeed. */
  public get unreachableSince(): clock.Milliseconds | undefined {
    return this.failingSince;
  }

  /** When reads last began to succeed again after failures. */
  public get reachableAgainAt(): clock.Milliseconds | undefined {
    return this.recoveredAt;
  }

  /** Starts to follow. */
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
      const succeeded = this.position === undefined ? await this.reset() : await this.readOn();
      if (signal.aborted) return;
      this.noteOutcome(succeeded);
      const pause = succeeded ? minimumIntervalMs - (time.now() - startedAt) : retryMs;
      if (pause > 0) await time.sleep(pause, signal);
    }
  }

  private async reset(): Promise<boolean> {
    const { handler, log, partition } = this.options;
    const state = await readAllNewest.readAllNewest(log, partition);
    if (state.isErr || this.stopping.signal.aborted) return false;
    this.position = state.value.endOffset;
    handler.onReset(state.value.records);
    handler.onCaughtUp();
    return true;
  }

  private async readOn(): Promise<boolean> {
    const { handler, log, partition, waitMs } = this.options;
    const page = await log.read(partition, this.position ?? 0, { waitMs });
    if (this.stopping.signal.aborted) return false;
    if (page.isErr) {
      if (page.error.kind === logFailures.LOG_FAILURES.EXPIRED) this.position = undefined;
      return page.error.kind === logFailures.LOG_FAILURES.EXPIRED;
    }
    page.value.records.forEach((record) => handler.onRecord(record));
    this.position = page.value.records.at(-1)?.offset ?? (this.position ?? 0) - 1;
    this.position += 1;
    handler.onCaughtUp();
    return true;
  }

  private noteOutcome(succeeded: boolean): void {
    const { clock: time, logger, partition } = this.options;
    if (succeeded && this.failingSince !== undefined) {
      const spanMs = Math.round(time.now() - this.failingSince);
      logger.info('The log can be read again.', { kind: partition.topic, spanMs });
      this.recoveredAt = time.now();
      this.failingSince = undefined;
    } else if (!succeeded && this.failingSince === undefined) {
      this.failingSince = time.now();
      logger.warn('The log cannot be read.', { kind: partition.topic });
    }
  }
}
