import type * as clock from '@limpettack/clock';
import type * as pauseDetector from './PauseDetector.js';

/** The time at which this process was last known for certain to own a shard. */
export class OwnershipConfirmation {
  private confirmedAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly clockSource: clock.Clock,
    private readonly pauses: pauseDetector.PauseDetector,
  ) {}

  /** Records that a check that started at the given clock time found no later claim. */
  public confirm(startedAt: clock.Milliseconds): void {
    this.confirmedAt = Math.max(this.confirmedAt, startedAt);
  }

  /** Discards the last confirmation, because there may be a later claim. */
  public revoke(): void {
    this.confirmedAt = Number.NEGATIVE_INFINITY;
  }

  /** Whether the last confirmation is younger than the given age and no pause followed it. */
  public isYoungerThan(ageMs: clock.Milliseconds): boolean {
    if (this.pauses.hasPausedSince(this.confirmedAt)) return false;
    return this.clockSource.now() - this.confirmedAt < ageMs;
  }
}
