import type * as clock from '@limpettack/clock';
import type * as pauseDetector from './PauseDetector.js';

/** When it was last certain that this process owned a shard. */
export class Freshness {
  private confirmedAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly clockSource: clock.Clock,
    private readonly pauses: pauseDetector.PauseDetector,
  ) {}

  /** Says that a check that began at this reading of the clock found no later claim. */
  public confirm(startedAt: clock.Milliseconds): void {
    this.confirmedAt = Math.max(this.confirmedAt, startedAt);
  }

  /** Says that there may be a later claim. */
  public revoke(): void {
    this.confirmedAt = Number.NEGATIVE_INFINITY;
  }

  /** Whether the last confirmation is younger than the span, with no pause of this process since. */
  public isWithin(span: clock.Milliseconds): boolean {
    if (this.pauses.hasPausedSince(this.confirmedAt)) return false;
    return this.clockSource.now() - this.confirmedAt < span;
  }
}
