import type * as clock from '@limpettack/clock';
import * as limits from '@limpettack/limits';
import type * as logging from '@limpettack/logging';
import type * as messages from './messages.js';
import * as shares from './shares.js';
import type { WorkspaceLimit } from './Types.js';
import * as waitPolicy from './waitPolicy.js';

/** At most this often a workspace under pressure is logged. */
const LOG_INTERVAL_MS = 1_000;

/** The shortest wait for the refill, so that timers do not follow each other too closely. */
const SHORTEST_TIMER_MS = 5;

interface Waiter {
  readonly request: messages.AllowanceRequest;
  readonly giveUpAt: clock.Milliseconds;
  readonly settle: (answer: messages.AllowanceAnswer) => void;
}

/** What an owned limit needs. */
export interface OwnedLimitOptions {
  readonly workspace: string;
  readonly limit: WorkspaceLimit;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** VMs that draw on the limit. */
  readonly memberCount: () => number;
}

/** The limit of one workspace, at its owner: one bucket, and the queue of those who wait for it. */
export class OwnedLimit {
  private readonly bucket: limits.TokenBucket;

  private limit: WorkspaceLimit;

  /** Calls of programs under way. */
  private going: Waiter[] = [];

  /** First calls of programs. They have their turn when none of the others waits. */
  private beginning: Waiter[] = [];

  private timer: clock.Timer | undefined;

  private refused = 0;

  private loggedAt = 0;

  public constructor(private readonly options: OwnedLimitOptions) {
    const { clock: time, limit } = options;
    this.limit = limit;
    const shared = shares.ownerLimit(limit);
    this.bucket = new limits.TokenBucket(shares.startTokens(shared), time.now(), shared);
  }

  /** Hands out requests, now or after a short wait; none when that would take too long. */
  public take(
    request: messages.AllowanceRequest,
    limit: WorkspaceLimit,
  ): Promise<messages.AllowanceAnswer> {
    this.settle(limit);
    const state = this.stateFor(request.isBegin);
    const granted = this.grant(request, state);
    if (granted > 0) return Promise.resolve({ granted, retryAfterMs: 0 });
    const waitMs = waitPolicy.expectedWaitMs(state);
    const longestMs = waitPolicy.longestWaitMs(request.isBegin);
    if (waitMs > longestMs) return Promise.resolve(this.refuse(request, waitMs));
    return new Promise((settle) => {
      const queue = request.isBegin ? this.beginning : this.going;
      queue.push({ request, giveUpAt: this.options.clock.now() + longestMs, settle });
      this.schedule();
    });
  }

  /** Refuses those who wait: another process owns the limit now. */
  public close(): void {
    this.timer?.cancel();
    const waiters = [...this.going, ...this.beginning];
    this.going = [];
    this.beginning = [];
    waiters.forEach(({ settle }) => settle({ granted: 0, retryAfterMs: 0 }));
  }

  private stateFor(isBegin: boolean): waitPolicy.LimitState {
    const waiting = isBegin ? [...this.going, ...this.beginning] : this.going;
    return {
      level: this.bucket.level,
      burst: this.bucket.burst,
      ratePerSecond: this.bucket.ratePerSecond,
      ahead: waiting.reduce((sum, { request }) => sum + request.needed, 0),
      memberCount: this.options.memberCount(),
    };
  }

  private grant(request: messages.AllowanceRequest, state: waitPolicy.LimitState): number {
    const { expected, isBegin, needed } = request;
    const granted = waitPolicy.grantNow(state, needed, expected, isBegin);
    this.bucket.take(granted);
    return granted;
  }

  private settle(limit: WorkspaceLimit): void {
    this.bucket.settle(this.options.clock.now(), 0);
    if (limit.burst === this.limit.burst && limit.ratePerSecond === this.limit.ratePerSecond)
      return;
    this.bucket.setLimit(shares.ownerLimit(limit));
    this.bucket.settle(this.options.clock.now(), 0);
    this.limit = limit;
  }

  private schedule(): void {
    if (this.timer !== undefined || this.going.length + this.beginning.length === 0) return;
    const missing = Math.max(0, 1 - this.bucket.level);
    const delay = Math.max(SHORTEST_TIMER_MS, this.bucket.timeFor(missing));
    this.timer = this.options.clock.startTimer(delay, () => {
      this.timer = undefined;
      this.serveWaiting();
      this.schedule();
    });
  }

  private serveWaiting(): void {
    this.bucket.settle(this.options.clock.now(), 0);
    this.going = this.serveQueue(this.going);
    if (this.going.length === 0) this.beginning = this.serveQueue(this.beginning);
    else this.beginning = this.dropLate(this.beginning);
  }

  private serveQueue(queue: readonly Waiter[]): Waiter[] {
    const rest = this.dropLate(queue);
    while (rest.length > 0) {
      const { request, settle } = rest[0]!;
      const state = { ...this.stateFor(request.isBegin), ahead: 0 };
      const granted = this.grant({ ...request, expected: 0 }, state);
      if (granted === 0) break;
      rest.shift();
      settle({ granted, retryAfterMs: 0 });
    }
    return rest;
  }

  private dropLate(queue: readonly Waiter[]): Waiter[] {
    const now = this.options.clock.now();
    queue
      .filter(({ giveUpAt }) => giveUpAt <= now)
      .forEach(({ request, settle }) => {
        const waitMs = waitPolicy.expectedWaitMs(this.stateFor(request.isBegin));
        settle(this.refuse(request, waitMs));
      });
    return queue.filter(({ giveUpAt }) => giveUpAt > now);
  }

  private refuse(
    request: messages.AllowanceRequest,
    waitMs: clock.Milliseconds,
  ): messages.AllowanceAnswer {
    this.refused += request.needed;
    this.logPressure();
    return { granted: 0, retryAfterMs: Math.ceil(waitMs) };
  }

  private logPressure(): void {
    const { clock: time, logger, workspace } = this.options;
    if (time.now() - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = time.now();
    const { burst, level, ratePerSecond } = this.bucket;
    logger.info('A workspace asks for more than its limit.', {
      workspace,
      count: this.refused,
      reason:
        `${this.going.length} and ${this.beginning.length} wait, level ${level.toFixed(1)}, ` +
        `rate ${ratePerSecond.toFixed(1)}/s, burst ${burst.toFixed(1)}`,
    });
    this.refused = 0;
  }
}
