import type * as clock from '@limpettack/clock';
import * as grantTimings from './grantTimings.js';
import * as messages from './messages.js';
import type { ReplicatedBucket } from './messages.js';
import type * as tokenBucket from './TokenBucket.js';

/** Tokens for this duration at the workspace's rate are authorized ahead of requests. */
const PREFETCH_MS = 30;

const MILLISECONDS_PER_SECOND = 1_000;

/** Floating-point tolerance: a level this close below a whole token is treated as that token. */
const ROUNDING = 1e-9;

/** Resolves a request. Called once. */
export type DecisionCallback = (result: messages.GrantResult) => void;

/** A request waiting for a token. */
export interface Waiter {
  readonly decide: DecisionCallback;
  readonly expiresAt: clock.Milliseconds;
}

/** Inputs of a decision other than the bucket itself. */
export interface DecisionContext {
  readonly now: clock.Milliseconds;
  /** Tokens that holders of earlier epochs may still grant. */
  readonly unreleasedTokens: number;
  /** Maximum time that a request may wait for its token. */
  readonly maximumWaitMs: clock.Milliseconds;
}

/**
 * A workspace's bucket at its owner. A token moves from the level to the authorized tokens. It is
 * granted to a request only after the standby has acknowledged the authorization.
 */
export class OwnedBucket {
  private authorized = 0;

  private acknowledged = 0;

  private granted = 0;

  private waiting: Waiter[] = [];

  public constructor(
    private readonly bucket: tokenBucket.TokenBucket,
    private readonly onDecision: (isGranted: boolean) => void,
  ) {}

  /** Tokens authorized but not granted yet. */
  private get outstanding(): number {
    return this.authorized - this.granted;
  }

  /** Tokens acknowledged by the standby but not granted yet. */
  private get grantable(): number {
    return this.acknowledged - this.granted;
  }

  /** Refills the level up to now. `held` is the number of tokens that others may still grant. */
  public refill(now: clock.Milliseconds, held: number): void {
    this.bucket.refill(now, this.outstanding + held);
  }

  /** Changes the limit. Call `refill` first, so that elapsed time accrues at the old rate. */
  public setLimit(limit: Parameters<tokenBucket.TokenBucket['setLimit']>[0]): void {
    this.bucket.setLimit(limit);
    // If the new burst is lower than the authorized tokens, the excess is discarded.
    const excess = Math.ceil(this.outstanding - this.bucket.burst);
    if (excess <= 0) return;
    this.granted += excess;
    this.acknowledged = Math.max(this.acknowledged, this.granted);
  }

  /** Decides a request immediately, or queues it if it can get a token in time. */
  public enqueue(waiter: Waiter, context: DecisionContext): void {
    this.dropExpired(context.now);
    this.waiting.push(waiter);
    this.refuseExcess(context);
    this.grantWaiting();
  }

  /** Refuses waiting requests that can no longer get a token in time, and grants what it can. */
  public recheckWaiting(context: DecisionContext): void {
    this.dropExpired(context.now);
    this.refuseExcess(context);
    this.grantWaiting();
  }

  /** Authorizes tokens ahead of requests. Returns whether the standby must be updated. */
  public authorize(): boolean {
    const prefetch = Math.max(1, Math.ceil(this.bucket.ratePerSecond * toSeconds(PREFETCH_MS)));
    const wanted = prefetch + this.waiting.length - this.outstanding;
    const isNeeded = this.waiting.length > this.outstanding || this.outstanding < prefetch / 2;
    const moved = Math.min(Math.floor(this.bucket.level + ROUNDING), wanted);
    if (!isNeeded || moved < 1) return false;
    this.bucket.take(moved);
    this.authorized += moved;
    return true;
  }

  /** Applies the number of authorized tokens that the standby has recorded. */
  public acknowledge(authorized: number): void {
    this.acknowledged = Math.max(this.acknowledged, Math.min(authorized, this.authorized));
    this.grantWaiting();
  }

  /** Treats all authorized tokens as acknowledged, for an owner without a standby. */
  public acknowledgeAll(): void {
    this.acknowledge(this.authorized);
  }

  /** Discards the level and the authorized tokens that the standby has not acknowledged. */
  public discardUnacknowledged(): void {
    this.bucket.empty();
    this.authorized = this.acknowledged;
  }

  /** Resolves all waiting requests as `pending`, so that they are retried. */
  public abandonWaiting(): void {
    const abandoned = this.waiting;
    this.waiting = [];
    abandoned.forEach((waiter) => waiter.decide({ kind: messages.GRANT_RESULT_KINDS.PENDING }));
  }

  public get hasWaiting(): boolean {
    return this.waiting.length > 0;
  }

  /** Returns the state to replicate to the standby. */
  public toReplicated(workspace: string): ReplicatedBucket {
    const { authorized, granted } = this;
    return { workspace, level: Math.max(0, this.bucket.level), authorized, granted };
  }

  /** Returns the tokens left in a bucket that grants no more, including outstanding ones. */
  public remaining(): number {
    return Math.max(0, this.bucket.level) + this.outstanding;
  }

  private grantWaiting(): void {
    while (this.grantable >= 1 && this.waiting.length > 0) {
      this.granted += 1;
      this.onDecision(true);
      this.waiting.shift()!.decide({ kind: messages.GRANT_RESULT_KINDS.GRANTED });
    }
  }

  /**
   * Refuses the requests that cannot get a token in time. They take no position in the queue, so
   * that the tokens go to later requests that can still wait.
   */
  private refuseExcess(context: DecisionContext): void {
    // Requests wait while earlier holders may still grant so many tokens that the level cannot
    // reach one.
    if (this.bucket.burst - context.unreleasedTokens < 1) return;
    if (this.missingFor(this.waiting.length) === 0) return;
    const retained: Waiter[] = [];
    const refused: Waiter[] = [];
    this.waiting.forEach((waiter) => {
      const isInTime = this.isInTime(waiter, retained.length + 1, context);
      (isInTime ? retained : refused).push(waiter);
    });
    this.waiting = retained;
    refused.forEach((waiter, index) => {
      this.onDecision(false);
      const retryAfterMs = this.waitFor(retained.length + index + 1);
      waiter.decide({ kind: messages.GRANT_RESULT_KINDS.REFUSED, retryAfterMs });
    });
  }

  /** Returns whether the token for a queue position, from 1 on, is available in time. */
  private isInTime(waiter: Waiter, position: number, context: DecisionContext): boolean {
    if (this.missingFor(position) === 0) return true;
    const waitMs = this.waitFor(position);
    const deliveredAt = context.now + waitMs + grantTimings.DELIVERY_MARGIN_MS;
    return waitMs <= context.maximumWaitMs && deliveredAt < waiter.expiresAt;
  }

  /** Returns the number of tokens to accrue before this many requests have one each. */
  private missingFor(requests: number): number {
    const missing = requests - this.bucket.level - this.outstanding;
    return missing > ROUNDING ? missing : 0;
  }

  /** Returns the time until this many requests have a token each. */
  private waitFor(requests: number): clock.Milliseconds {
    return Math.max(1, this.bucket.timeToAccrue(this.missingFor(requests)));
  }

  private dropExpired(now: clock.Milliseconds): void {
    const isExpired = (waiter: Waiter) => waiter.expiresAt <= now;
    const expired = this.waiting.filter(isExpired);
    this.waiting = this.waiting.filter((waiter) => !isExpired(waiter));
    expired.forEach((waiter) => waiter.decide({ kind: messages.GRANT_RESULT_KINDS.PENDING }));
  }
}

function toSeconds(duration: clock.Milliseconds): number {
  return duration / MILLISECONDS_PER_SECOND;
}
