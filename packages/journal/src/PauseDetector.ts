import type * as clock from '@limpettack/clock';

const TICK_MS = 100;

/** A longer time than this between two checks is treated as a pause of the process. */
const PAUSE_THRESHOLD_MS = 400;

/**
 * Detects that the process was paused. What it knew of other processes before the pause may be
 * outdated, because they continued to run.
 */
export class PauseDetector {
  private lastCheckAt: clock.Milliseconds;

  private lastPauseEndedAt = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly clockSource: clock.Clock,
    signal: AbortSignal,
  ) {
    this.lastCheckAt = clockSource.now();
    this.watch(signal).catch(() => undefined);
  }

  /** Whether the process may have been paused at some time since the given clock time. */
  public hasPausedSince(time: clock.Milliseconds): boolean {
    this.checkForPause();
    return time <= this.lastPauseEndedAt;
  }

  private checkForPause(): void {
    const now = this.clockSource.now();
    if (now - this.lastCheckAt > PAUSE_THRESHOLD_MS) this.lastPauseEndedAt = now;
    this.lastCheckAt = now;
  }

  private async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clockSource.sleep(TICK_MS, signal);
      this.checkForPause();
    }
  }
}
