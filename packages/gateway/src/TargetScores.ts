import type * as clock from '@limpettack/clock';

/** A target that failed is left aside for so long, doubled with each further failure in a row. */
const FAILURE_PAUSE_MS = 500;
const LONGEST_FAILURE_PAUSE_MS = 4_000;

/** A target that was full is left aside for so long. */
const FULL_PAUSE_MS = 60;

/** Weight of the latest time in the smoothed one, and of the latest outcome in the share of failures. */
const SMOOTHING = 0.25;

/** Failures count as being in a row until the share falls below this: after four good answers. */
const FORGIVEN_SHARE = 0.1;

/** A target this many times slower than the middle one of its pool is left aside. */
const SLOW_FACTOR = 2.5;

/** Differences below this do not count as slow. */
const SLOW_MARGIN_MS = 60;

/** A slow target is tried again when its time is so old. */
const SLOW_MEMORY_MS = 2_000;

/** What this process knows of a target by its own calls. */
export interface TargetScore {
  /** Calls of this process that run there. */
  readonly inFlight: number;
  readonly isPaused: boolean;
  readonly isSlow: boolean;
}

interface Score {
  inFlight: number;
  /** Failures without enough good answers between them. */
  failures: number;
  /** The smoothed share of calls that failed: a target that fails part of them answers others well. */
  failureShare: number;
  pausedUntil: clock.Milliseconds;
  smoothedMs: clock.Milliseconds | undefined;
  timedAt: clock.Milliseconds;
}

/** How targets have served the calls of this process. */
export class TargetScores {
  private readonly scores = new Map<string, Score>();

  public constructor(private readonly time: clock.Clock) {}

  public noteSent(target: string): void {
    this.scoreOf(target).inFlight += 1;
  }

  public noteDone(target: string): void {
    this.scoreOf(target).inFlight -= 1;
  }

  /** Notes how long the target took to begin its answer. */
  public noteFirst(target: string, spanMs: clock.Milliseconds): void {
    const score = this.scoreOf(target);
    score.failureShare -= SMOOTHING * score.failureShare;
    if (score.failureShare < FORGIVEN_SHARE) score.failures = 0;
    const former = score.smoothedMs ?? spanMs;
    score.smoothedMs = former + SMOOTHING * (spanMs - former);
    score.timedAt = this.time.now();
  }

  public noteFailure(target: string): void {
    const score = this.scoreOf(target);
    const pause = Math.min(LONGEST_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * 2 ** score.failures);
    score.failures += 1;
    score.failureShare += SMOOTHING * (1 - score.failureShare);
    score.pausedUntil = this.time.now() + pause;
  }

  public noteFull(target: string): void {
    const score = this.scoreOf(target);
    score.pausedUntil = Math.max(score.pausedUntil, this.time.now() + FULL_PAUSE_MS);
  }

  /** The scores of some targets, compared with each other. */
  public compare(targets: readonly string[]): ReadonlyMap<string, TargetScore> {
    const now = this.time.now();
    const scores = targets.map((target) => [target, this.scoreOf(target)] as const);
    const middle = median(scores.flatMap(([, { smoothedMs }]) => smoothedMs ?? []));
    return new Map(
      scores.map(([target, score]) => [
        target,
        {
          inFlight: score.inFlight,
          isPaused: score.pausedUntil > now,
          isSlow: isSlow(score, middle, now),
        },
      ]),
    );
  }

  public forget(target: string): void {
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
    smoothedMs: undefined,
    timedAt: 0,
  };
}

function isSlow(
  score: Score,
  middleMs: clock.Milliseconds | undefined,
  now: clock.Milliseconds,
): boolean {
  const { smoothedMs, timedAt } = score;
  if (smoothedMs === undefined || middleMs === undefined) return false;
  if (now - timedAt > SLOW_MEMORY_MS) return false;
  return smoothedMs > SLOW_FACTOR * middleMs && smoothedMs - middleMs > SLOW_MARGIN_MS;
}

function median(values: readonly number[]): number | undefined {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)];
}
