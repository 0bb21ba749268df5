import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import type * as platformClient from '@limpettack/platform-client';
import type * as logStatus from './LogStatus.js';
import type { ReadOutcome } from './ShardReader.js';
import * as shardView from './ShardView.js';
import type { ShardFold } from './Types.js';

const PAGE_LIMIT = 1_000;
const LONG_POLL_MS = 5_000;
const RETRY_MS = 100;

/** Number of consecutive lost responses that is treated as an outage of the log. */
const LOST_RESPONSES_LIMIT = 2;

const NO_PROGRESS: platformClient.PlatformFailure = {
  kind: 'invalid',
  message: 'The log returned no records although its tail is further on.',
};

/** Dependencies of a stream. */
export interface StreamDependencies<State, Body> {
  readonly log: platformClient.LogClient;
  readonly clock: clock.Clock;
  readonly fold: ShardFold<State, Body>;
  readonly status: logStatus.LogStatus;
  readonly logger: logging.Logger;
  /** How long the log keeps records; undefined while that is unknown. */
  retentionMs(): clock.Milliseconds | undefined;
  /** Returns the name of a shard's stream. */
  streamName(shard: number): string;
}

/** Callbacks for events while a stream is read. */
export interface StreamListener<Body> {
  /** Called after a record was read and applied to the state. */
  onRecord(outcome: ReadOutcome<Body>): void;
  /** Called when all records that the log held at clock time `startedAt` have been read. */
  onTail(startedAt: clock.Milliseconds): void;
  /** Called when records expired before they were read and a new view starts after them. */
  onRestart(firstOffset: number): void;
}

/** Reads the stream of one shard into a view and follows it on demand. */
export class ShardStream<State, Body> {
  private current: shardView.ShardView<State, Body>;

  private consecutiveLosses = 0;

  private following: AbortController | undefined;

  public readonly name: string;

  public constructor(
    public readonly shard: number,
    private readonly dependencies: StreamDependencies<State, Body>,
    private readonly listener: StreamListener<Body>,
  ) {
    this.name = dependencies.streamName(shard);
    this.current = this.createView(0);
  }

  /** The state built from the records read so far. */
  public get view(): shardView.ShardView<State, Body> {
    return this.current;
  }

  /** Whether the stream is being followed or at least one record has been read. */
  public get hasRead(): boolean {
    return this.following !== undefined || this.current.reader.nextOffset > 0;
  }

  /** Discards the view and starts again from the first record that the log still has. */
  public reset(): void {
    this.current = this.createView(0);
  }

  /** Starts to follow the stream by long polling. */
  public follow(): void {
    if (this.following !== undefined) return;
    const controller = new AbortController();
    this.following = controller;
    this.followUntil(controller.signal).catch((cause: unknown) => {
      const fields = { shard: this.shard, reason: String(cause) };
      this.dependencies.logger.error('Failed to follow the stream.', fields);
    });
  }

  /** Stops following the stream and discards the state. */
  public unfollow(): void {
    this.following?.abort();
    this.following = undefined;
    this.reset();
  }

  /** Reads up to the current end of the stream. Returns the failure when the log fails. */
  public async catchUp(): Promise<platformClient.PlatformFailure | undefined> {
    for (;;) {
      const step = await this.readPage(0);
      if (step === 'tail') return undefined;
      if (typeof step === 'object') return step;
    }
  }

  /** Reads all records below the given offset. Returns the failure when the log fails. */
  public async readTo(offset: number): Promise<platformClient.PlatformFailure | undefined> {
    while (this.current.reader.nextOffset < offset) {
      const step = await this.readPage(0);
      if (typeof step === 'object') return step;
    }
    return undefined;
  }

  /**
   * Applies records that this process appended, if they directly follow the last record read.
   * Returns whether they were applied.
   */
  public applyAppended(offset: number, payloads: readonly string[]): boolean {
    const view = this.current;
    if (view.reader.nextOffset !== offset) return false;
    payloads.forEach((payload, index) => {
      this.applyRecord(view, { offset: offset + index, ageMs: 0, payload });
    });
    return true;
  }

  private createView(firstOffset: number): shardView.ShardView<State, Body> {
    const { fold, clock: clockSource, retentionMs } = this.dependencies;
    return new shardView.ShardView(this.shard, fold, clockSource, retentionMs, firstOffset);
  }

  private async followUntil(signal: AbortSignal): Promise<void> {
    const { clock: clockSource, status } = this.dependencies;
    while (!signal.aborted) {
      await status.whenUp(signal);
      const step = await this.readPage(this.current.caughtUp ? LONG_POLL_MS : 0, signal);
      if (typeof step === 'object') await clockSource.sleep(RETRY_MS, signal);
    }
  }

  private async readPage(
    waitMs: clock.Milliseconds,
    signal?: AbortSignal,
  ): Promise<platformClient.PlatformFailure | 'tail' | 'more'> {
    const { log, clock: clockSource, status } = this.dependencies;
    const view = this.current;
    const startedAt = clockSource.now();
    const options = { limit: PAGE_LIMIT, waitMs, ...(signal === undefined ? {} : { signal }) };
    const page = await log.read(this.name, view.reader.nextOffset, options);
    // If the view was replaced meanwhile, the page was read for the old view and is discarded.
    if (signal?.aborted || view !== this.current) return 'more';
    if (page.isErr) return this.handleFailure(page.error);
    this.consecutiveLosses = 0;
    status.markUp();
    page.value.records.forEach((record) => this.applyRecord(view, record));
    if (view !== this.current) return 'more';
    if (view.reader.nextOffset < page.value.tailOffset) {
      return page.value.records.length > 0 ? 'more' : NO_PROGRESS;
    }
    view.markCaughtUp();
    this.listener.onTail(startedAt);
    return 'tail';
  }

  private applyRecord(
    view: shardView.ShardView<State, Body>,
    record: platformClient.LogRecord,
  ): void {
    // The listener of an earlier record may have replaced the view.
    if (view !== this.current) return;
    const outcome = view.applyRecord(record);
    if (outcome.kind !== 'old') this.listener.onRecord(outcome);
  }

  private handleFailure(
    failure: platformClient.PlatformFailure,
  ): platformClient.PlatformFailure | 'more' {
    this.consecutiveLosses = failure.kind === 'lost' ? this.consecutiveLosses + 1 : 0;
    const isOutage =
      failure.kind === 'unavailable' || this.consecutiveLosses >= LOST_RESPONSES_LIMIT;
    if (isOutage) this.dependencies.status.markDown();
    if (failure.kind !== 'expired') return failure;
    this.dependencies.status.markUp();
    const { firstOffset } = failure;
    if (firstOffset === undefined || firstOffset <= this.current.reader.nextOffset) return failure;
    this.current = this.createView(firstOffset);
    this.listener.onRestart(firstOffset);
    return 'more';
  }
}
