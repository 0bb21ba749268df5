import type * as clock from '@limpettack/clock';

/**
 * How far an operation may exceed its maximum duration. More is treated as a pause of the process.
 */
const MAXIMUM_DELAY_MS = 500;

/** Detects recent pauses of this process, so that it does not suspect others because of them. */
export class PauseDetector {
  private pausedAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly time: clock.Clock,
    private readonly graceMs: clock.Milliseconds,
  ) {}

  /** Checks an operation with a known maximum duration. A pause is recorded if it took longer. */
  public check(startedAt: clock.Milliseconds, maximumDuration: clock.Milliseconds): void {
    const now = this.time.now();
    if (now - startedAt > maximumDuration + MAXIMUM_DELAY_MS) this.pausedAt = now;
  }

  /** Returns whether a pause was detected within the grace period. */
  public wasPausedRecently(): boolean {
    return this.time.now() - this.pausedAt < this.graceMs;
  }
}
