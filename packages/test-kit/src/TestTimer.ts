import * as clock from '@limpettack/clock';

/** A timer that starts on construction, for faults that last a given duration. */
export class TestTimer {
  private readonly elapsed: Promise<void>;

  public constructor(durationMs: clock.Milliseconds) {
    this.elapsed = new clock.SystemClock().sleep(durationMs);
  }

  /** Resolves when the duration has elapsed. */
  public untilElapsed(): Promise<void> {
    return this.elapsed;
  }
}
