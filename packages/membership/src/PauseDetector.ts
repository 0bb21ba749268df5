import type * as clock from '@limpettack/clock';

/** How late a timer may fire before the process counts as having been paused. */
const LATENESS_MS = 500;

/** Tells whether this process was paused of late, so that it blames no other for it. */
export class PauseDetector {
  private pausedAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly time: clock.Clock,
    private readonly graceMs: clock.Milliseconds,
  ) {}

  /** Notes that something that takes at most a span had been started at a time. */
  public note(startedAt: clock.Milliseconds, span: clock.Milliseconds): void {
    const now = this.time.now();
    if (now - startedAt > span + LATENESS_MS) this.pausedAt = now;
  }

  /** Whether a pause has been noted within the period of grace. */
  public wasPausedLately(): boolean {
    return this.time.now() - this.pausedAt < this.graceMs;
  }
}
