import type * as clock from '@limpettack/clock';

const MILLISECONDS_PER_SECOND = 1_000;

/** Lets calls pass at a rate, with a burst of a tenth of a second's worth, at least one. */
export class RateLimiter {
  private level: number;

  private filledAt: clock.Milliseconds;

  private readonly burst: number;

  public constructor(
    private readonly time: clock.Clock,
    private readonly perSecond: number,
  ) {
    this.burst = Math.max(1, perSecond / 10);
    this.level = this.burst;
    this.filledAt = time.now();
  }

  /** Takes one call and returns 0, or returns how long to wait, in milliseconds. */
  public take(): clock.Milliseconds {
    const now = this.time.now();
    const gained = ((now - this.filledAt) * this.perSecond) / MILLISECONDS_PER_SECOND;
    this.level = Math.min(this.burst, this.level + gained);
    this.filledAt = now;
    if (this.level < 1) {
      return Math.ceil(((1 - this.level) * MILLISECONDS_PER_SECOND) / this.perSecond);
    }
    this.level -= 1;
    return 0;
  }
}
