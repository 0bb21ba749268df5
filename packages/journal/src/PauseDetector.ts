import type * as clock from '@limpettack/clock';

const TICK_MS = 100;

/** The process is assumed to have been paused if two checks are further apart than this. */
const PAUSE_THRESHOLD_MS = 400;

/**
 * Detects pauses of the process. After a pause, the process's knowledge of other processes may be
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
