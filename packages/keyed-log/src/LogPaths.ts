import type * as clock from '@limpettack/clock';

/** Interval at which the direct path is tried again while relays reach the log. */
const RELAYED_PROBE_INTERVAL_MS = 1_000;

/**
 * Interval at which the direct path is tried again while relays do not reach the log either. Calls
 * between two tries fail at once. Otherwise the retries of hundreds of VMs would all hit the log in
 * an outage.
 */
const OUTAGE_PROBE_INTERVAL_MS = 200;

/** Minimum time between attempts through relays while no relay reaches the log. */
const RELAY_RETRY_INTERVAL_MS = 1_000;

/** The paths that a call takes at its start. Without any, it fails at once. */
export interface PathChoice {
  readonly isDirect: boolean;
  readonly isRelayed: boolean;
}

/**
 * Decides by which paths the calls of a process reach the log: directly or through peers. While the
 * direct path fails, one call at a time tries it, beside the relays, so that no other call waits
 * for a path that may not respond.
 *
 * A failed call shows that its path fails only if no other call on that path has succeeded since it
 * started: a read that waits for changes may stall in a log that serves all other calls.
 */
export class LogPaths {
  private isDirectWorking = true;

  private directSucceededAt = Number.NEGATIVE_INFINITY;

  private relaySucceededAt = Number.NEGATIVE_INFINITY;

  private nextProbeAt = 0;

  private relaysPausedUntil = 0;

  /** Whether the direct path works, as far as is known. */
  public get isDirect(): boolean {
    return this.isDirectWorking;
  }

  /**
   * Chooses the paths of a call that starts now. While the direct path fails, the call takes the
   * next direct attempt only if that has been due for `yieldMs`.
   */
  public choose(now: clock.Milliseconds, yieldMs: clock.Milliseconds = 0): PathChoice {
    if (this.isDirectWorking) return { isDirect: true, isRelayed: false };
    const isProbe = now >= this.nextProbeAt + yieldMs;
    const isRelayed = this.mayRelay(now);
    const intervalMs = isRelayed ? RELAYED_PROBE_INTERVAL_MS : OUTAGE_PROBE_INTERVAL_MS;
    if (isProbe) this.nextProbeAt = now + intervalMs;
    return { isDirect: isProbe, isRelayed };
  }

  /** Whether relays may be tried. */
  public mayRelay(now: clock.Milliseconds): boolean {
    return now >= this.relaysPausedUntil;
  }

  /** Records that a direct call has succeeded. */
  public noteDirectSuccess(now: clock.Milliseconds): void {
    this.isDirectWorking = true;
    this.directSucceededAt = now;
    this.relaysPausedUntil = 0;
  }

  /** Records that a direct call, which started at the given time, has failed. */
  public noteDirectFailure(startedAt: clock.Milliseconds, now: clock.Milliseconds): void {
    if (!this.isDirectWorking || this.directSucceededAt > startedAt) return;
    this.isDirectWorking = false;
    this.nextProbeAt = now;
  }

  /** Records that a relay has reached the log. */
  public noteRelaySuccess(now: clock.Milliseconds): void {
    this.relaySucceededAt = now;
    this.relaysPausedUntil = 0;
  }

  /** Records that no relay has reached the log for a call that started at the given time. */
  public noteRelayFailure(startedAt: clock.Milliseconds, now: clock.Milliseconds): void {
    if (this.isDirectWorking || this.relaySucceededAt > startedAt) return;
    this.relaysPausedUntil = now + RELAY_RETRY_INTERVAL_MS;
    this.nextProbeAt = Math.min(this.nextProbeAt, now + OUTAGE_PROBE_INTERVAL_MS);
  }
}
