import type * as clock from '@limpettack/clock';
import * as askTimes from './askTimes.js';
import * as messages from './messages.js';
import type { ReplicatedBucket } from './messages.js';
import type * as tokenBucket from './TokenBucket.js';

/** Time of the rate that is authorized ahead of requests. */
const PREFETCH_MS = 30;

const MILLISECONDS_PER_SECOND = 1_000;

/** Levels are sums of fractions; a level this close below a whole token has it. */
const ROUNDING = 1e-9;

/** Answers a request; called once. */
export type Decide = (answer: messages.GrantAnswer) => void;

/** A request that waits for a token. */
export interface Waiter {
  readonly decide: Decide;
  readonly expiresAt: clock.Milliseconds;
}

/** What a decision depends on besides the bucket itself. */
export interface Situation {
  readonly now: clock.Milliseconds;
  /** Tokens that holders of earlier epochs may still grant. */
  readonly held: number;
  /** How long a request may wait for its token to come. */
  readonly patienceMs: clock.Milliseconds;
}

/**
 * One workspace's bucket at its owner. Tokens move from the level to the authorized ones, which the
 * standby acknowledges, and only then to requests.
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

  /** Tokens authorized and not granted yet. */
  private get outstanding(): number {
    return this.authorized - this.granted;
  }

  /** Tokens that the standby has acknowledged and that are not granted yet. */
  private get spendable(): number {
    return this.acknowledged - this.granted;
  }

  /** Brings the level up to date; `held` is what others may still grant. */
  public settle(now: clock.Milliseconds, held: number): void {
    this.bucket.settle(now, this.outstanding + held);
  }

  /** Changes the limit. Settle first. */
  public setLimit(limit: Parameters<tokenBucket.TokenBucket['setLimit']>[0]): void {
    this.bucket.setLimit(limit);
    // A lowered burst takes from what is authorized too; those tokens are lost.
    const excess = Math.ceil(this.outstanding - this.bucket.burst);
    if (excess <= 0) return;
    this.granted += excess;
    this.acknowledged = Math.max(this.acknowledged, this.granted);
  }

  /** Decides a request at once, or lets it wait for a token that is there or comes in time. */
  public ask(waiter: Waiter, situation: Situation): void {
    this.dropExpired(situation.now);
    this.waiting.push(waiter);
    this.refuseExcess(situation);
    this.serve();
  }

  /** Refuses those of the waiting requests that no token will be there for any more. */
  public review(situation: Situation): void {
    this.dropExpired(situation.now);
    this.refuseExcess(situation);
    this.serve();
  }

  /** Authorizes tokens ahead of requests. Returns whether the standby must be told. */
  public authorize(): boolean {
    const target = Math.max(1, Math.ceil(this.bucket.ratePerSecond * toSeconds(PREFETCH_MS)));
    const wanted = target + this.waiting.length - this.outstanding;
    const isNeeded = this.waiting.length > this.outstanding || this.outstanding < target / 2;
    const moved = Math.min(Math.floor(this.bucket.level + ROUNDING), wanted);
    if (!isNeeded || moved < 1) return false;
    this.bucket.take(moved);
    this.authorized += moved;
    return true;
  }

  /** Takes in what the standby counts as held. */
  public acknowledge(authorized: number): void {
    this.acknowledged = Math.max(this.acknowledged, Math.min(authorized, this.authorized));
    this.serve();
  }

  /** Takes all that is authorized as acknowledged, when no standby is to be asked. */
  public acknowledgeAll(): void {
    this.acknowledge(this.authorized);
  }

  /** Starts again from nothing but what the standby has acknowledged. */
  public emptyLevel(): void {
    this.bucket.empty();
    this.authorized = this.acknowledged;
  }

  /** Answers all waiting requests that they must ask again. */
  public abandonWaiting(): void {
    const abandoned = this.waiting;
    this.waiting = [];
    abandoned.forEach((waiter) => waiter.decide({ kind: messages.ANSWER_KINDS.PENDING }));
  }

  public get hasWaiting(): boolean {
    return this.waiting.length > 0;
  }

  /** What the standby is told. */
  public toReplicated(workspace: string): ReplicatedBucket {
    const { authorized, granted } = this;
    return { workspace, level: Math.max(0, this.bucket.level), authorized, granted };
  }

  /** Tokens of a bucket that will grant no more: what was authorized goes back into it. */
  public remaining(): number {
    return Math.max(0, this.bucket.level) + this.outstanding;
  }

  private serve(): void {
    while (this.spendable >= 1 && this.waiting.length > 0) {
      this.granted += 1;
      this.onDecision(true);
      this.waiting.shift()!.decide({ kind: messages.ANSWER_KINDS.GRANTED });
    }
  }

  /**
   * Refuses the requests that no token will come for in time. They take no place in the order, so
   * that the tokens go to those behind them that can still wait.
   */
  private refuseExcess(situation: Situation): void {
    // When others hold nearly the whole burst, requests wait for the end of the takeover.
    if (this.bucket.burst - situation.held < 1) return;
    if (this.missingFor(this.waiting.length) === 0) return;
    const kept: Waiter[] = [];
    const refused: Waiter[] = [];
    this.waiting.forEach((waiter) => {
      const isInTime = this.isInTime(waiter, kept.length + 1, situation);
      (isInTime ? kept : refused).push(waiter);
    });
    this.waiting = kept;
    refused.forEach((waiter, index) => {
      this.onDecision(false);
      const retryAfterMs = this.waitFor(kept.length + index + 1);
      waiter.decide({ kind: messages.ANSWER_KINDS.REFUSED, retryAfterMs });
    });
  }

  /** Whether the token for a place in the order, from 1 on, is there or comes in time. */
  private isInTime(waiter: Waiter, place: number, situation: Situation): boolean {
    if (this.missingFor(place) === 0) return true;
    const waitMs = this.waitFor(place);
    const heardAt = situation.now + waitMs + askTimes.HEARING_MS;
    return waitMs <= situation.patienceMs && heardAt < waiter.expiresAt;
  }

  /** How many tokens must come before so many requests have one each. */
  private missingFor(requests: number): number {
    const missing = requests - this.bucket.level - this.outstanding;
    return missing > ROUNDING ? missing : 0;
  }

  /** How long it takes until so many requests have a token each. */
  private waitFor(requests: number): clock.Milliseconds {
    return Math.max(1, this.bucket.timeFor(this.missingFor(requests)));
  }

  private dropExpired(now: clock.Milliseconds): void {
    const isExpired = (waiter: Waiter) => waiter.expiresAt <= now;
    const expired = this.waiting.filter(isExpired);
    this.waiting = this.waiting.filter((waiter) => !isExpired(waiter));
    expired.forEach((waiter) => waiter.decide({ kind: messages.ANSWER_KINDS.PENDING }));
  }
}

function toSeconds(span: clock.Milliseconds): number {
  return span / MILLISECONDS_PER_SECOND;
}
