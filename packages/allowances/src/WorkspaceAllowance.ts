import type * as clock from '@limpettack/clock';
import * as limits from '@limpettack/limits';
import type * as messages from './messages.js';
import * as programMemory from './ProgramMemory.js';
import * as shares from './shares.js';
import type { Admission, WorkspaceLimit } from './Types.js';

/** Requests that came within this span are the estimate of what the next span needs. */
const DEMAND_SPAN_MS = 500;

/** What has been taken ahead is void after so long, so that no VM hoards. */
const ALLOWANCE_MS = 1_000;

/** After a failure to reach the owner it is not asked for so long. */
const OWNER_PAUSE_MS = 500;

/** Requests taken ahead at most, so that one VM cannot empty a bucket for the others. */
const LARGEST_AHEAD = 16;

/** The shortest and the longest time that callers are told to stay away. */
const SHORTEST_RETRY_MS = 50;
const LONGEST_RETRY_MS = 2_000;

/** Asks the owner; nothing when it does not answer. */
export type AskOwner = (
  request: Omit<messages.AllowanceRequest, 'workspace'>,
) => Promise<messages.AllowanceAnswer | undefined>;

/** What an allowance needs. */
export interface WorkspaceAllowanceOptions {
  readonly clock: clock.Clock;
  readonly askOwner: AskOwner;
  readonly memberCount: () => number;
}

interface Waiter {
  readonly resolve: (admission: Admission) => void;
  timer?: clock.Timer;
}

interface Queue {
  readonly isBegin: boolean;
  waiting: Waiter[];
  isAsking: boolean;
}

/** The requests of one workspace that this process may let through. */
export class WorkspaceAllowance {
  public readonly programs = new programMemory.ProgramMemory();

  private tokens = 0;

  private voidAt = 0;

  private demand = 0;

  private demandSince = 0;

  private ownerPausedUntil = 0;

  private detached: limits.TokenBucket | undefined;

  private readonly going: Queue = { isBegin: false, waiting: [], isAsking: false };

  private readonly beginning: Queue = { isBegin: true, waiting: [], isAsking: false };

  public constructor(private readonly options: WorkspaceAllowanceOptions) {}

  /** Admits a request from what is at hand, or when the owner has handed out more. */
  public admit(
    limit: WorkspaceLimit,
    isBegin: boolean,
    patienceMs: clock.Milliseconds,
  ): Promise<Admission> {
    const now = this.options.clock.now();
    this.noteDemand(now);
    const queue = isBegin ? this.beginning : this.going;
    if (queue.waiting.length === 0 && this.takeAtHand(now)) {
      return Promise.resolve({ isAdmitted: true });
    }
    if (this.ownerPausedUntil > now) return Promise.resolve(this.admitDetached(limit));
    return new Promise((resolve) => {
      const waiter: Waiter = { resolve };
      waiter.timer = this.options.clock.startTimer(patienceMs, () => {
        queue.waiting = queue.waiting.filter((other) => other !== waiter);
        resolve(refusal(SHORTEST_RETRY_MS));
      });
      queue.waiting.push(waiter);
      if (!queue.isAsking) this.ask(queue, limit);
    });
  }

  private async ask(queue: Queue, limit: WorkspaceLimit): Promise<void> {
    queue.isAsking = true;
    while (queue.waiting.length > 0) {
      const needed = queue.waiting.length;
      const { isBegin } = queue;
      const answer = await this.options.askOwner({ needed, expected: this.expected, isBegin });
      if (answer === undefined) this.goDetached(queue, limit);
      else if (answer.granted === 0) refuseFirst(queue, needed, answer.retryAfterMs);
      else this.letThrough(queue, answer.granted);
    }
    queue.isAsking = false;
  }

  private letThrough(queue: Queue, granted: number): void {
    const admitted = queue.waiting.splice(0, granted);
    admitted.forEach((waiter) => settle(waiter, { isAdmitted: true }));
    const now = this.options.clock.now();
    if (this.voidAt <= now) this.tokens = 0;
    this.tokens += granted - admitted.length;
    this.voidAt = now + ALLOWANCE_MS;
  }

  /** Without the owner a VM uses its part of what is set aside for this. */
  private goDetached(queue: Queue, limit: WorkspaceLimit): void {
    this.ownerPausedUntil = this.options.clock.now() + OWNER_PAUSE_MS;
    queue.waiting.splice(0).forEach((waiter) => settle(waiter, this.admitDetached(limit)));
  }

  private admitDetached(limit: WorkspaceLimit): Admission {
    const now = this.options.clock.now();
    const share = shares.detachedLimit(limit, this.options.memberCount());
    const atLeastOne = { ...share, burst: Math.max(1, share.burst) };
    this.detached ??= new limits.TokenBucket(atLeastOne.burst, now, atLeastOne);
    this.detached.settle(now, 0);
    this.detached.setLimit(atLeastOne);
    if (this.detached.level < 1) return refusal(this.detached.timeFor(1 - this.detached.level));
    this.detached.take(1);
    return { isAdmitted: true };
  }

  private takeAtHand(now: clock.Milliseconds): boolean {
    if (this.voidAt <= now) this.tokens = 0;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }

  private noteDemand(now: clock.Milliseconds): void {
    if (now - this.demandSince > DEMAND_SPAN_MS) {
      // Half of the former span stays in, so that the estimate does not jump.
      this.demand /= 2;
      this.demandSince = now;
    }
    this.demand += 1;
  }

  private get expected(): number {
    return Math.min(LARGEST_AHEAD, Math.round(this.demand));
  }
}

function refuseFirst(queue: Queue, count: number, waitMs: clock.Milliseconds): void {
  queue.waiting.splice(0, count).forEach((waiter) => settle(waiter, refusal(waitMs)));
}

function settle(waiter: Waiter, admission: Admission): void {
  waiter.timer?.cancel();
  waiter.resolve(admission);
}

function refusal(waitMs: clock.Milliseconds): Admission {
  const retryAfterMs = Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, waitMs));
  return { isAdmitted: false, retryAfterMs };
}
