import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

/**
 * Time for which other targets are preferred after a failure; doubled with each consecutive
 * failure.
 */
const FAILURE_PAUSE_MS = 500;
const MAXIMUM_FAILURE_PAUSE_MS = 4_000;

/** Time for which other targets are preferred after a target was full. */
const FULL_PAUSE_MS = 60;

/** Weight of the latest sample in the smoothed response time and in the share of failures. */
const SMOOTHING = 0.25;

/**
 * Failures are treated as consecutive until the smoothed share of failures falls below this value.
 * After a single failure, this takes four successes.
 */
const FAILURE_RESET_SHARE = 0.1;

/**
 * A target on probation is trusted again after this time without a failure, even if too few calls
 * that may be repeated have tried it.
 */
const PROBATION_MS = 10_000;

/**
 * A target is slow if its response time exceeds the median of the compared targets by this factor.
 */
const SLOW_FACTOR = 2.5;

/** Minimum difference from the median for a target to be slow. */
const SLOW_MARGIN_MS = 60;

/** A slow target is tried again when its latest sample is this old. */
const SLOW_RETRY_MS = 2_000;

/** State of a target, as observed by this process's own calls. */
export interface TargetScore {
  /** Calls of this process that run on the target. */
  readonly inFlight: number;
  readonly isPaused: boolean;
  /**
   * Whether the target has failed and has not completed enough calls since then to be trusted. Only
   * calls that may be repeated try it.
   */
  readonly isOnProbation: boolean;
  readonly isSlow: boolean;
}

interface Score {
  inFlight: number;
  /** Number of consecutive failures (see `FAILURE_RESET_SHARE`). */
  failures: number;
  /** Smoothed share of failed calls, because a target may fail only part of its calls. */
  failureShare: number;
  pausedUntil: clock.Milliseconds;
  failedAt: clock.Milliseconds;
  smoothedMs: clock.Milliseconds | undefined;
  sampledAt: clock.Milliseconds;
}

/** Tracks load, failures and response times of targets, by the calls of this process. */
export class TargetScores {
  private readonly scores = new Map<string, Score>();

  private readonly failureEmitter = new lifetime.Emitter<string>();

  /** Fires with the id of a target that has failed a call of this process. */
  public readonly onFailure = this.failureEmitter.event;

  public constructor(private readonly time: clock.Clock) {}

  public recordSent(target: string): void {
    this.scoreOf(target).inFlight += 1;
  }

  public recordDone(target: string): void {
    this.scoreOf(target).inFlight -= 1;
  }

  /** Records the time until the first data of a response. */
  public recordFirstData(target: string, durationMs: clock.Milliseconds): void {
    const score = this.scoreOf(target);
    score.failureShare -= SMOOTHING * score.failureShare;
    if (score.failureShare < FAILURE_RESET_SHARE) score.failures = 0;
    const previous = score.smoothedMs ?? durationMs;
    score.smoothedMs = previous + SMOOTHING * (durationMs - previous);
    score.sampledAt = this.time.now();
  }

  /** Records that a target has failed a call of this process. */
  public recordFailure(target: string): void {
    this.penalise(target);
    this.failureEmitter.fire(target);
  }

  /** Records that other VMs have seen a target fail. */
  public recordSuspicion(target: string): void {
    this.penalise(target);
  }

  private penalise(target: string): void {
    const score = this.scoreOf(target);
    const pause = Math.min(MAXIMUM_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * 2 ** score.failures);
    score.failures += 1;
    score.failureShare += SMOOTHING * (1 - score.failureShare);
    score.failedAt = this.time.now();
    score.pausedUntil = score.failedAt + pause;
  }

  public recordFull(target: string): void {
    const score = this.scoreOf(target);
    score.pausedUntil = Math.max(score.pausedUntil, this.time.now() + FULL_PAUSE_MS);
  }

  /** Scores of the given targets; slow ones are found by comparison with the others. */
  public compare(targets: readonly string[]): ReadonlyMap<string, TargetScore> {
    const now = this.time.now();
    const scores = targets.map((target) => [target, this.scoreOf(target)] as const);
    const medianMs = median(scores.flatMap(([, { smoothedMs }]) => smoothedMs ?? []));
    return new Map(
      scores.map(([target, score]) => [
        target,
        {
          inFlight: score.inFlight,
          isPaused: score.pausedUntil > now,
          isOnProbation: score.failures > 0 && now - score.failedAt < PROBATION_MS,
          isSlow: isSlow(score, medianMs, now),
        },
      ]),
    );
  }

  /** The targets that run requests of this process, with the number of requests. */
  public inFlightCounts(): readonly { readonly target: string; readonly count: number }[] {
    return [...this.scores]
      .map(([target, { inFlight }]) => ({ target, count: inFlight }))
      .filter(({ count }) => count > 0);
  }

  public discard(target: string): void {
    const score = this.scores.get(target);
    if (score === undefined) return;
    if (score.inFlight === 0) this.scores.delete(target);
    else Object.assign(score, createScore(score.inFlight));
  }

  private scoreOf(target: string): Score {
    const known = this.scores.get(target);
    if (known !== undefined) return known;
    const created = createScore(0);
    this.scores.set(target, created);
    return created;
  }
}

function createScore(inFlight: number): Score {
  return {
    inFlight,
    failures: 0,
    failureShare: 0,
    pausedUntil: 0,
    failedAt: 0,
    smoothedMs: undefined,
    sampledAt: 0,
  };
}

function isSlow(
  score: Score,
  medianMs: clock.Milliseconds | undefined,
  now: clock.Milliseconds,
): boolean {
  const { smoothedMs, sampledAt } = score;
  if (smoothedMs === undefined || medianMs === undefined) return false;
  if (now - sampledAt > SLOW_RETRY_MS) return false;
  return smoothedMs > SLOW_FACTOR * medianMs && smoothedMs - medianMs > SLOW_MARGIN_MS;
}

function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}
