import type * as clock from '@limpettack/clock';

const MILLISECONDS_PER_SECOND = 1_000;

/** Requests that have not been sent for this long may be made up for at once. */
const BURST_MS = 100;

/** Whether a request may be sent, and when. */
export interface Turn {
  readonly isGranted: boolean;
  /** Time until the granted turn, or, if none is granted, until the next free one. */
  readonly waitMs: clock.Milliseconds;
  /** Whether no send is reserved, so that another turn has to be taken after the wait. */
  readonly isProvisional?: boolean;
}

/** Spreads requests evenly at a rate. Those that may wait get a turn in the order of asking. */
export class RequestPacer {
  /** The next free turn. In the past if requests have not been sent. */
  private nextTurn: clock.Milliseconds;

  private intervalMs: clock.Milliseconds = 0;

  public constructor(ratePerSecond: number, firstTurn: clock.Milliseconds) {
    this.setRate(ratePerSecond);
    this.nextTurn = firstTurn;
  }

  /** Changes the rate. Turns already granted keep their times. */
  public setRate(ratePerSecond: number): void {
    this.intervalMs = MILLISECONDS_PER_SECOND / ratePerSecond;
  }

  /** Grants the next free turn unless it is later than `maximumWaitMs`. */
  public take(now: clock.Milliseconds, maximumWaitMs: clock.Milliseconds): Turn {
    const turn = Math.max(this.nextTurn, now - BURST_MS);
    const waitMs = Math.max(0, turn - now);
    if (waitMs > maximumWaitMs) return { isGranted: false, waitMs };
    this.nextTurn = turn + this.intervalMs;
    return { isGranted: true, waitMs };
  }
}
