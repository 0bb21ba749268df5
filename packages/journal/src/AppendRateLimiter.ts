import type * as clock from '@limpettack/clock';

const SECOND_MS = 1_000;

/**
 * Limits the append rate of this process so that the whole fleet stays below the log's rate limit.
 * Each stream has at most one append waiting, and appends are sent in order of arrival, so all
 * streams get equal shares. After an idle period, the appends of up to one second are sent as a
 * burst.
 */
export class AppendRateLimiter {
  private nextFreeAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly clockSource: clock.Clock,
    private readonly appendsPerSecond: number,
  ) {}

  /** Resolves when the next append may be sent, or when the signal aborts. */
  public async acquire(signal: AbortSignal): Promise<void> {
    const now = this.clockSource.now();
    this.nextFreeAt =
      Math.max(this.nextFreeAt, now - SECOND_MS) + SECOND_MS / this.appendsPerSecond;
    if (this.nextFreeAt > now) await this.clockSource.sleep(this.nextFreeAt - now, signal);
  }
}
