import type * as clock from '@limpettack/clock';

const TICK_MS = 100;

/** A tick that is later than this says that the process stood still. */
const PAUSE_MS = 400;

/**
 * Notices that the process was paused. What it believed before is void then: others may have
 * acted meanwhile.
 */
export class PauseDetector {
  private lastSeen: clock.Milliseconds;

  private pausedUntil = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly clockSource: clock.Clock,
    signal: AbortSignal,
  ) {
    this.lastSeen = clockSource.now();
    this.watch(signal).catch(() => undefined);
  }

  /** Whether the process may have stood still at some time since the given clock reading. */
  public hasPausedSince(reading: clock.Milliseconds): boolean {
    this.look();
    return reading <= this.pausedUntil;
  }

  private look(): void {
    const now = this.clockSource.now();
    if (now - this.lastSeen > PAUSE_MS) this.pausedUntil = now;
    this.lastSeen = now;
  }

  private async watch(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clockSource.sleep(TICK_MS, signal);
      this.look();
    }
  }
}
