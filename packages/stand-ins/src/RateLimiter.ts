import type * as clock from '@limpettack/clock';

const MILLISECONDS_PER_SECOND = 1_000;

/** Token bucket. The burst is the rate of a tenth of a second, but at least one call. */
export class RateLimiter {
  private availableTokens: number;

  private refilledAt: clock.Milliseconds;

  private readonly burst: number;

  public constructor(
    private readonly time: clock.Clock,
    private readonly perSecond: number,
  ) {
    this.burst = Math.max(1, perSecond / 10);
    this.availableTokens = this.burst;
    this.refilledAt = time.now();
  }

  /** Admits a call and returns 0, or returns the delay before a retry, in milliseconds. */
  public tryAcquire(): clock.Milliseconds {
    const now = this.time.now();
    const refilledTokens = ((now - this.refilledAt) * this.perSecond) / MILLISECONDS_PER_SECOND;
    this.availableTokens = Math.min(this.burst, this.availableTokens + refilledTokens);
    this.refilledAt = now;
    if (this.availableTokens < 1) {
      return Math.ceil(((1 - this.availableTokens) * MILLISECONDS_PER_SECOND) / this.perSecond);
    }
    this.availableTokens -= 1;
    return 0;
  }
}
