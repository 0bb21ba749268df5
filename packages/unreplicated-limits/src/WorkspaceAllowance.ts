import type * as clock from '@limpettack/clock';
import * as messages from './messages.js';
import * as recentPrograms from './RecentPrograms.js';
import type { AdmissionResult } from './Types.js';
import * as waitPolicy from './waitPolicy.js';

/** Interval over which requests are counted to estimate the demand of the next interval. */
const DEMAND_INTERVAL_MS = 500;

/** Lifetime of prefetched tokens, so that no VM hoards them. */
const PREFETCH_LIFETIME_MS = 1_000;

/** Time for which the owner, or its deputy, is sent no further requests after it did not respond. */
const PAUSE_MS = 500;

/** Maximum number of prefetched tokens, so that one VM cannot empty the bucket for the others. */
const MAXIMUM_PREFETCHED_TOKENS = 16;

/** A call that needs a token. */
export interface AllowanceCall {
  /** Whether the call may be the first of its program. */
  readonly isBegin: boolean;
  /** The program that the owner is told if the call may be its first. */
  readonly program?: string | undefined;
  /** Maximum time that the call may wait for the limit. */
  readonly maximumWaitMs: clock.Milliseconds;
}

/** Requests tokens from another VM. Returns undefined if it does not respond. */
export type RequestTokens = (
  request: Omit<messages.AllowanceRequest, 'workspace'>,
) => Promise<messages.AllowanceResponse | undefined>;

/** Dependencies of an allowance. */
export interface WorkspaceAllowanceOptions {
  readonly clock: clock.Clock;
  readonly requestFromOwner: RequestTokens;
  /** The deputy grants a share of the limit while the owner does not respond. */
  readonly requestFromDeputy: RequestTokens;
  /** If given, retry delays are varied with these numbers from 0 to 1. */
  readonly random?: (() => number) | undefined;
}

interface Waiter {
  readonly resolve: (admission: AdmissionResult) => void;
  timer?: clock.Timer;
}

interface Queue {
  readonly isBegin: boolean;
  /** If set, all waiting calls belong to this program. */
  readonly program?: string;
  waiting: Waiter[];
  isRequesting: boolean;
}

/** Admits the requests of one workspace on this process, with tokens of the workspace's limit. */
export class WorkspaceAllowance {
  public readonly programs = new recentPrograms.RecentPrograms();

  private prefetchedTokens = 0;

  private prefetchExpiresAt = 0;

  private demand = 0;

  private demandSince = 0;

  private ownerPausedUntil = 0;

  private deputyPausedUntil = 0;

  private readonly runningProgramCalls: Queue = {
    isBegin: false,
    waiting: [],
    isRequesting: false,
  };

  private readonly firstCalls: Queue = { isBegin: true, waiting: [], isRequesting: false };

  /** First calls of programs that the owner is told, by program. */
  private readonly namedFirstCalls = new Map<string, Queue>();

  /** Programs that were begun without a request to the owner, and that it has not been told. */
  private unreportedPrograms: string[] = [];

  public constructor(private readonly options: WorkspaceAllowanceOptions) {}

  /**
   * Admits a request with a prefetched token or with one that the owner grants, or its deputy while
   * the owner does not respond. A request is refused if neither responds, or if it waits for
   * `maximumWaitMs`.
   */
  public admit(call: AllowanceCall): Promise<AdmissionResult> {
    const now = this.options.clock.now();
    this.recordDemand(now);
    const queue = this.queueFor(call);
    if (queue.waiting.length === 0 && this.takePrefetched(now)) {
      if (queue.program !== undefined) this.reportLater([queue.program]);
      return Promise.resolve({ isAdmitted: true });
    }
    if (this.ownerPausedUntil > now && this.deputyPausedUntil > now) {
      return Promise.resolve(this.refusal(this.pausedForMs(now)));
    }
    return new Promise((resolve) => {
      const waiter: Waiter = { resolve };
      waiter.timer = this.options.clock.startTimer(call.maximumWaitMs, () => {
        queue.waiting = queue.waiting.filter((other) => other !== waiter);
        resolve(this.refusal(0));
      });
      queue.waiting.push(waiter);
      if (!queue.isRequesting) this.requestTokens(queue);
    });
  }

  private queueFor({ isBegin, program }: AllowanceCall): Queue {
    if (!isBegin) return this.runningProgramCalls;
    if (program === undefined || program.length > messages.MAXIMUM_PROGRAM_CHARACTERS)
      return this.firstCalls;
    const created = { isBegin, program, waiting: [], isRequesting: false };
    return this.namedFirstCalls.get(program) ?? created;
  }

  private reportLater(programs: readonly string[]): void {
    this.unreportedPrograms = [...this.unreportedPrograms, ...programs].slice(
      -messages.MAXIMUM_REPORTED_PROGRAMS,
    );
  }

  private async requestTokens(queue: Queue): Promise<void> {
    queue.isRequesting = true;
    if (queue.program !== undefined) this.namedFirstCalls.set(queue.program, queue);
    while (queue.waiting.length > 0) {
      const needed = queue.waiting.length;
      const { isBegin, program } = queue;
      const { requestFromDeputy, requestFromOwner } = this.options;
      const isOwnerPaused = this.ownerPausedUntil > this.options.clock.now();
      const requestFrom = isOwnerPaused ? requestFromDeputy : requestFromOwner;
      const running = isOwnerPaused ? [] : this.unreportedPrograms.splice(0);
      const response = await requestFrom({
        needed,
        expected: this.mayPrefetch(queue) && !isOwnerPaused ? this.expected : 0,
        isBegin,
        ...(program === undefined ? {} : { program }),
        ...(running.length === 0 ? {} : { running }),
      });
      if (response === undefined) this.reportLater(running);
      if (response === undefined) this.pause(queue, isOwnerPaused);
      else if (response.granted === 0) this.refuseFirst(queue, needed, response.retryAfterMs);
      else {
        this.admitWaiting(queue, response.granted);
        if (isOwnerPaused && program !== undefined) this.reportLater([program]);
      }
    }
    queue.isRequesting = false;
    if (queue.program !== undefined) this.namedFirstCalls.delete(queue.program);
  }

  private refuseFirst(queue: Queue, count: number, waitMs: clock.Milliseconds): void {
    queue.waiting.splice(0, count).forEach((waiter) => settle(waiter, this.refusal(waitMs)));
  }

  private refusal(waitMs: clock.Milliseconds): AdmissionResult {
    const retryAfterMs = waitPolicy.retryDelayMs(waitMs, this.options.random);
    return { isAdmitted: false, retryAfterMs };
  }

  private admitWaiting(queue: Queue, granted: number): void {
    const admitted = queue.waiting.splice(0, granted);
    admitted.forEach((waiter) => settle(waiter, { isAdmitted: true }));
    const now = this.options.clock.now();
    if (this.prefetchExpiresAt <= now) this.prefetchedTokens = 0;
    this.prefetchedTokens += granted - admitted.length;
    this.prefetchExpiresAt = now + PREFETCH_LIFETIME_MS;
  }

  /**
   * Sends no further requests to a VM that did not respond for some time. After the owner, the deputy
   * is asked; after both, all waiting requests are refused.
   */
  private pause(queue: Queue, isDeputy: boolean): void {
    const now = this.options.clock.now();
    if (!isDeputy) {
      this.ownerPausedUntil = now + PAUSE_MS;
      return;
    }
    this.deputyPausedUntil = now + PAUSE_MS;
    this.refuseFirst(queue, queue.waiting.length, this.pausedForMs(now));
  }

  private pausedForMs(now: clock.Milliseconds): clock.Milliseconds {
    return Math.max(0, Math.min(this.ownerPausedUntil, this.deputyPausedUntil) - now);
  }

  /** Whether a request may ask for tokens in advance: at most one of those that name programs. */
  private mayPrefetch({ program }: Queue): boolean {
    return program === undefined || this.namedFirstCalls.size === 1;
  }

  private takePrefetched(now: clock.Milliseconds): boolean {
    if (this.prefetchExpiresAt <= now) this.prefetchedTokens = 0;
    if (this.prefetchedTokens < 1) return false;
    this.prefetchedTokens -= 1;
    return true;
  }

  private recordDemand(now: clock.Milliseconds): void {
    if (now - this.demandSince > DEMAND_INTERVAL_MS) {
      // Half of the previous count is kept, so that the estimate does not drop suddenly.
      this.demand /= 2;
      this.demandSince = now;
    }
    this.demand += 1;
  }

  private get expected(): number {
    return Math.min(MAXIMUM_PREFETCHED_TOKENS, Math.round(this.demand));
  }
}

function settle(waiter: Waiter, admission: AdmissionResult): void {
  waiter.timer?.cancel();
  waiter.resolve(admission);
}
