import type * as clock from '@limpettack/clock';
import * as limits from '@limpettack/limits';
import type * as logging from '@limpettack/logging';
import type * as messages from './messages.js';
import * as recentPrograms from './RecentPrograms.js';
import type { WorkspaceLimit } from './Types.js';
import * as waitPolicy from './waitPolicy.js';

/** Minimum interval between log lines about an exceeded limit. */
const LOG_INTERVAL_MS = 1_000;

/** Minimum delay until the waiting requests are checked again, to limit how often that happens. */
const MINIMUM_TIMER_MS = 5;

interface Waiter {
  readonly request: messages.AllowanceRequest;
  readonly expiresAt: clock.Milliseconds;
  readonly settle: (response: messages.AllowanceResponse) => void;
}

/** Dependencies and settings of an owned limit. */
export interface OwnedLimitOptions {
  readonly workspace: string;
  readonly limit: WorkspaceLimit;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Number of VMs that use the limit. */
  readonly memberCount: () => number;
  /** The part of the limit that is granted here. */
  readonly shareOf: (limit: WorkspaceLimit) => WorkspaceLimit;
  /** Initial number of tokens, of a share of the limit. */
  readonly initialTokens: (share: WorkspaceLimit) => number;
}

/**
 * The limit of one workspace, or a share of it, at the VM that grants it: a token bucket and the
 * queues of waiting requests.
 */
export class OwnedLimit {
  private readonly bucket: limits.TokenBucket;

  private limit: WorkspaceLimit;

  /** Calls of running programs. */
  private runningProgramCalls: Waiter[] = [];

  /** First calls of programs. They are served only while no call of a running program waits. */
  private firstCalls: Waiter[] = [];

  /** Programs of which a VM has named an admitted call. */
  private readonly programs = new recentPrograms.RecentPrograms();

  private timer: clock.Timer | undefined;

  private refusedCount = 0;

  private loggedAt = 0;

  public constructor(private readonly options: OwnedLimitOptions) {
    const { clock: time, initialTokens, limit, shareOf } = options;
    this.limit = limit;
    const share = shareOf(limit);
    this.bucket = new limits.TokenBucket(initialTokens(share), time.now(), share);
  }

  /** Grants tokens, at once or after a short wait; none if the wait would be too long. */
  public take(
    received: messages.AllowanceRequest,
    limit: WorkspaceLimit,
  ): Promise<messages.AllowanceResponse> {
    this.refill(limit);
    const request = this.recognizeProgram(received);
    const state = this.stateFor(request.isBegin);
    const granted = this.grant(request, state);
    if (granted > 0) return Promise.resolve({ granted, retryAfterMs: 0 });
    const waitMs = waitPolicy.expectedWaitMs(state);
    const maximumMs = waitPolicy.maximumWaitMs(request.isBegin);
    if (waitMs > maximumMs) return Promise.resolve(this.refuse(request, waitMs));
    return new Promise((settle) => {
      const queue = request.isBegin ? this.firstCalls : this.runningProgramCalls;
      queue.push({ request, expiresAt: this.options.clock.now() + maximumMs, settle });
      this.schedule();
    });
  }

  /** Refuses all waiting requests, because another process owns the limit now. */
  public close(): void {
    this.timer?.cancel();
    const waiters = [...this.runningProgramCalls, ...this.firstCalls];
    this.runningProgramCalls = [];
    this.firstCalls = [];
    waiters.forEach(({ settle }) => settle({ granted: 0, retryAfterMs: 0 }));
  }

  private stateFor(isBegin: boolean): waitPolicy.LimitState {
    const waiting = isBegin
      ? [...this.runningProgramCalls, ...this.firstCalls]
      : this.runningProgramCalls;
    return {
      level: this.bucket.level,
      burst: this.bucket.burst,
      ratePerSecond: this.bucket.ratePerSecond,
      ahead: waiting.reduce((sum, { request }) => sum + request.needed, 0),
      memberCount: this.options.memberCount(),
    };
  }

  /**
   * Treats the first call of a program at one VM as a call of a running program if another VM has
   * admitted calls of the program, because the turns of a program may arrive at different VMs.
   */
  private recognizeProgram(request: messages.AllowanceRequest): messages.AllowanceRequest {
    const { program, running = [] } = request;
    const now = this.options.clock.now();
    running.forEach((name) => this.programs.add(name, now));
    const isRunning = program !== undefined && this.programs.isRetained(program, now);
    return isRunning ? { ...request, isBegin: false } : request;
  }

  private grant(request: messages.AllowanceRequest, state: waitPolicy.LimitState): number {
    const { expected, isBegin, needed, program } = request;
    const granted = waitPolicy.computeGrant(state, needed, expected, isBegin);
    this.bucket.take(granted);
    if (granted > 0 && program !== undefined) this.programs.add(program, this.options.clock.now());
    return granted;
  }

  private refill(limit: WorkspaceLimit): void {
    this.bucket.refill(this.options.clock.now(), 0);
    if (limit.burst === this.limit.burst && limit.ratePerSecond === this.limit.ratePerSecond)
      return;
    this.bucket.setLimit(this.options.shareOf(limit));
    this.bucket.refill(this.options.clock.now(), 0);
    this.limit = limit;
  }

  private schedule(): void {
    if (this.timer !== undefined || this.runningProgramCalls.length + this.firstCalls.length === 0)
      return;
    const missing = Math.max(0, 1 - this.bucket.level);
    const delay = Math.max(MINIMUM_TIMER_MS, this.bucket.timeToAccrue(missing));
    this.timer = this.options.clock.startTimer(delay, () => {
      this.timer = undefined;
      this.serveWaiting();
      this.schedule();
    });
  }

  private serveWaiting(): void {
    this.bucket.refill(this.options.clock.now(), 0);
    this.runningProgramCalls = this.serveQueue(this.runningProgramCalls);
    if (this.runningProgramCalls.length === 0) this.firstCalls = this.serveQueue(this.firstCalls);
    else this.firstCalls = this.refuseExpired(this.firstCalls);
  }

  private serveQueue(queue: readonly Waiter[]): Waiter[] {
    const rest = this.refuseExpired(queue);
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

  private refuseExpired(queue: readonly Waiter[]): Waiter[] {
    const now = this.options.clock.now();
    queue
      .filter(({ expiresAt }) => expiresAt <= now)
      .forEach(({ request, settle }) => {
        const waitMs = waitPolicy.expectedWaitMs(this.stateFor(request.isBegin));
        settle(this.refuse(request, waitMs));
      });
    return queue.filter(({ expiresAt }) => expiresAt > now);
  }

  private refuse(
    request: messages.AllowanceRequest,
    waitMs: clock.Milliseconds,
  ): messages.AllowanceResponse {
    this.refusedCount += request.needed;
    this.logExceeded();
    return { granted: 0, retryAfterMs: Math.ceil(waitMs) };
  }

  private logExceeded(): void {
    const { clock: time, logger, workspace } = this.options;
    if (time.now() - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = time.now();
    const { burst, level, ratePerSecond } = this.bucket;
    logger.info('The requests of a workspace exceed its limit.', {
      workspace,
      count: this.refusedCount,
      reason:
        `${this.runningProgramCalls.length} and ${this.firstCalls.length} wait, level ${level.toFixed(1)}, ` +
        `rate ${ratePerSecond.toFixed(1)}/s, burst ${burst.toFixed(1)}`,
    });
    this.refusedCount = 0;
  }
}
