import type * as clock from '@limpettack/clock';

const SECOND_MS = 1_000;

/**
 * Spaces the appends of this process so that the whole fleet stays below the log's rate. Each
 * stream has at most one append waiting, and they go first come, first served, so all streams get
 * equal shares. Up to a second's worth may go at once after a quiet time.
 */
export class AppendRate {
  private nextFreeAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly clockSource: clock.Clock,
    private readonly appendsPerSecond: number,
  ) {}

  /** Resolves when one append may be sent. */
  public async acquire(signal: AbortSignal): Promise<void> {
    const now = this.clockSource.now();
    this.nextFreeAt =
      Math.max(this.nextFreeAt, now - SECOND_MS) + SECOND_MS / this.appendsPerSecond;
    if (this.nextFreeAt > now) await this.clockSource.sleep(this.nextFreeAt - now, signal);
  }
}
