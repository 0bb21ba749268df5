import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

import * as platformFailures from './PlatformFailures.js';
import type {
  LogClient,
  LogPage,
  PlatformFailure,
  StreamFollowerOptions,
  StreamHandler,
} from './Types.js';

const DEFAULT_WAIT_MS = 5_000;
const DEFAULT_LIMIT = 500;
const DEFAULT_MINIMUM_BACKOFF_MS = 50;
const DEFAULT_MAXIMUM_BACKOFF_MS = 2_000;

/**
 * Follows one stream of the log from an offset and passes each record to a handler, once and in
 * order. It runs until it is disposed of. Failures of the log only delay it.
 */
export class StreamFollower implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly caughtUpEmitter = this.store.add(new lifetime.Emitter<number>());

  private readonly availabilityEmitter = this.store.add(new lifetime.Emitter<boolean>());

  private readonly abortController = new AbortController();

  private position: number;

  private atTail = false;

  private available = true;

  private lastTailConfirmedAt: clock.Milliseconds | undefined;

  private consecutiveFailures = 0;

  private task: Promise<void> | undefined;

  public constructor(
    private readonly log: LogClient,
    private readonly time: clock.Clock,
    /** Returns numbers from 0 up to, but not including, 1. */
    private readonly random: () => number,
    private readonly handler: StreamHandler,
    private readonly options: StreamFollowerOptions,
  ) {
    this.position = options.from;
    this.store.addCallback(() => this.abortController.abort());
  }

  /** Fires with the next offset each time the follower catches up with the tail of the stream. */
  public get onCaughtUp(): lifetime.Event<number> {
    return this.caughtUpEmitter.event;
  }

  /** Fires with false when reads start to fail, and with true when they succeed again. */
  public get onAvailabilityChange(): lifetime.Event<boolean> {
    return this.availabilityEmitter.event;
  }

  /** The offset of the next record to pass to the handler. */
  public get nextOffset(): number {
    return this.position;
  }

  /** Whether the handler has received all records up to the tail that the last read reported. */
  public get isCaughtUp(): boolean {
    return this.atTail;
  }

  /** Whether the last read succeeded. */
  public get isAvailable(): boolean {
    return this.available;
  }

  /**
   * Time at which the last read that reached the tail was sent. The handler has received all
   * records that were appended before then. Undefined until a read has reached the tail.
   */
  public get tailConfirmedAt(): clock.Milliseconds | undefined {
    return this.lastTailConfirmedAt;
  }

  /** Starts to follow the stream. Further calls have no effect. */
  public start(): void {
    this.task ??= this.run();
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.store.dispose();
  }

  private async run(): Promise<void> {
    while (!this.store.isDisposed) {
      const startedAt = this.time.now();
      const result = await this.log.read(this.options.stream, this.position, {
        limit: this.options.limit ?? DEFAULT_LIMIT,
        // Reads wait only at the tail, so that the follower catches up with a short stream at once.
        waitMs: this.atTail ? (this.options.waitMs ?? DEFAULT_WAIT_MS) : 0,
        signal: this.abortController.signal,
      });
      if (this.store.isDisposed) return;
      if (result.isOk) await this.handlePage(result.value, startedAt);
      else await this.handleFailure(result.error);
    }
  }

  private async handlePage(page: LogPage, startedAt: clock.Milliseconds): Promise<void> {
    this.consecutiveFailures = 0;
    this.setAvailable(true);
    for (const record of page.records) {
      if (this.store.isDisposed) return;
      // Drops records that were already passed on, in case the log returns them again.
      if (record.offset < this.position) continue;
      if (record.offset > this.position) await this.reportGap(record.offset);
      await this.handler.onRecord(record);
      this.position = record.offset + 1;
    }
    if (this.store.isDisposed) return;
    this.updateAtTail(this.position >= page.tailOffset, startedAt);
  }

  private async handleFailure(failure: PlatformFailure): Promise<void> {
    const { firstOffset } = failure;
    const isExpired = failure.kind === platformFailures.PLATFORM_FAILURES.EXPIRED;
    if (isExpired && firstOffset !== undefined && firstOffset > this.position) {
      this.atTail = false;
      await this.reportGap(firstOffset);
      return;
    }
    this.setAvailable(false);
    this.consecutiveFailures += 1;
    await this.time.sleep(this.backoffMs(failure), this.abortController.signal);
  }

  private async reportGap(to: number): Promise<void> {
    await this.handler.onGap({ stream: this.options.stream, from: this.position, to });
    this.position = to;
  }

  private backoffMs(failure: PlatformFailure): clock.Milliseconds {
    const minimumMs = this.options.minimumBackoffMs ?? DEFAULT_MINIMUM_BACKOFF_MS;
    const maximumMs = this.options.maximumBackoffMs ?? DEFAULT_MAXIMUM_BACKOFF_MS;
    const ceilingMs = Math.min(maximumMs, minimumMs * 2 ** (this.consecutiveFailures - 1));
    const jitteredMs = ceilingMs * (0.5 + this.random() / 2);
    return Math.max(jitteredMs, failure.retryAfterMs ?? 0);
  }

  private setAvailable(available: boolean): void {
    if (this.available === available) return;
    this.available = available;
    this.availabilityEmitter.fire(available);
  }

  private updateAtTail(atTail: boolean, startedAt: clock.Milliseconds): void {
    const reached = atTail && !this.atTail;
    this.atTail = atTail;
    if (atTail) this.lastTailConfirmedAt = startedAt;
    if (reached) this.caughtUpEmitter.fire(this.position);
  }
}
