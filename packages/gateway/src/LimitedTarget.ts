import type * as clock from '@limpettack/clock';
import type * as messages from './messages.js';
import * as limitObservation from './LimitObservation.js';
import * as requestPacer from './RequestPacer.js';
import type { Target } from './Types.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A VM whose owner is unreachable asks it again after this time. */
const ASK_AGAIN_MS = 500;

/** Minimum time for which a target without a turn is not asked for one again. */
const MINIMUM_PAUSE_MS = 5;

/** The place of this VM among those that use a limit. */
export interface VmRank {
  /** From 0 on, different for each VM. */
  readonly rank: number;
  /** The number of VMs, at least 1. */
  readonly count: number;
}

/** What this VM knows about a target with a limit. */
export class LimitedTarget {
  /** Time until which the owner grants no turn. */
  public exhaustedUntil: clock.Milliseconds = 0;

  private observation: limitObservation.LimitObservation;

  /** This VM's own share of the limit; set while the owner is unreachable. */
  private ownShare: requestPacer.RequestPacer | undefined;

  private askAgainAt: clock.Milliseconds = 0;

  private isAsking = false;

  public constructor(
    public readonly target: Target,
    private rate: number,
    private readonly knownSince: clock.Milliseconds,
  ) {
    this.observation = { ratePerSecond: rate, observedAt: knownSince };
  }

  public get ratePerSecond(): number {
    return this.rate;
  }

  /** Records that a response to this VM has named the limit. */
  public observe(ratePerSecond: number, now: clock.Milliseconds): void {
    this.rate = ratePerSecond;
    this.observation = { ratePerSecond, observedAt: now };
  }

  /**
   * Whether the owner is to be asked for a turn. While it is unreachable, one request at a time asks
   * it, now and then.
   */
  public startAsking(now: clock.Milliseconds): boolean {
    if (this.ownShare === undefined) return true;
    if (this.isAsking || now < this.askAgainAt) return false;
    this.isAsking = true;
    return true;
  }

  /** The request to the owner. */
  public toRequest(
    now: clock.Milliseconds,
    maximumWaitMs: clock.Milliseconds,
  ): messages.TargetTurnRequest {
    const { id, incarnation } = this.target;
    const ageMs = Math.max(0, now - this.observation.observedAt);
    return {
      target: id,
      incarnation,
      ratePerSecond: this.rate,
      ageMs,
      knownMs: now - this.knownSince,
      maximumWaitMs,
      isForwarded: false,
    };
  }

  /** Applies the owner's response. Returns whether the target has ended its limit. */
  public applyResponse(response: messages.TargetTurnResponse, now: clock.Milliseconds): boolean {
    this.isAsking = false;
    this.ownShare = undefined;
    if (!response.isGranted) this.exhaust(now, response.waitMs);
    const { ratePerSecond } = response;
    // An observation of this VM that returns to it is not taken for a later one.
    if (ratePerSecond === this.rate) return false;
    const observedAt = now - response.ageMs;
    if (observedAt <= this.observation.observedAt) return false;
    if (ratePerSecond === null) return true;
    this.rate = ratePerSecond;
    this.observation = { ratePerSecond, observedAt };
    return false;
  }

  /**
   * Records that the owner did not respond. Returns whether it had responded before.
   *
   * Many VMs lose the owner at the same moment. Their ranks spread their first turns, which would
   * otherwise come due together, once in each interval of a share.
   */
  public recordUnreachableOwner(now: clock.Milliseconds, { count, rank }: VmRank): boolean {
    const wasReachable = this.ownShare === undefined;
    this.isAsking = false;
    this.askAgainAt = now + ASK_AGAIN_MS;
    const firstTurn = now + ((count + rank) * MILLISECONDS_PER_SECOND) / this.rate;
    this.ownShare ??= new requestPacer.RequestPacer(this.rate / count, firstTurn);
    return wasReachable;
  }

  /** Takes a turn from this VM's own share while the owner is unreachable. */
  public takeOwnTurn(
    now: clock.Milliseconds,
    maximumWaitMs: clock.Milliseconds,
  ): requestPacer.Turn {
    // A later turn could be used beside those of the owner, which may respond again by then.
    const untilAskedMs = Math.max(0, this.askAgainAt - now);
    const turn = this.ownShare?.take(now, Math.min(maximumWaitMs, untilAskedMs));
    if (turn?.isGranted) return turn;
    const waitMs = Math.min(turn?.waitMs ?? 0, untilAskedMs);
    this.exhaust(now, waitMs);
    return { isGranted: false, waitMs };
  }

  private exhaust(now: clock.Milliseconds, waitMs: clock.Milliseconds): void {
    this.exhaustedUntil = now + Math.max(MINIMUM_PAUSE_MS, waitMs);
  }
}
