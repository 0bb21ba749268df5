import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';

/** Minimum time between attempts of one append while the log is full. */
export const FULL_RETRY_MS = 500;

/**
 * The log has room again when an append succeeds and none has been rejected for this time. An append
 * that succeeds may be smaller than those that wait, which are tried again meanwhile.
 */
const SETTLED_MS = FULL_RETRY_MS + 100;

/** Interval at which one further record may be tried while no waiting one has been rejected. */
const PROBE_INTERVAL_MS = 2_000;

/** Dependencies of the log's space. */
export interface LogSpaceOptions {
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/**
 * Whether a log has room for records, as its responses to appends show. Records that wait for room
 * find out when there is some; if none waits, one further record may be tried from time to time.
 */
export class LogSpace {
  private isFull = false;

  private rejectedAt: clock.Milliseconds = 0;

  /** The time of the last attempt that was allowed while the log was full. */
  private probedAt: clock.Milliseconds = 0;

  public constructor(private readonly options: LogSpaceOptions) {}

  /** Returns whether work should begin whose record is appended later. */
  public admit(): boolean {
    if (!this.isFull) return true;
    const now = this.options.clock.now();
    if (now - Math.max(this.rejectedAt, this.probedAt) < PROBE_INTERVAL_MS) return false;
    this.probedAt = now;
    return true;
  }

  /** Records that the log has rejected an append because it is full. */
  public noteRejection(): void {
    this.rejectedAt = this.options.clock.now();
    if (this.isFull) return;
    this.isFull = true;
    this.options.logger.warn('The log is full and takes no more records.');
  }

  /** Records that the log has taken an append. */
  public noteAppend(): void {
    if (!this.isFull || this.options.clock.now() - this.rejectedAt < SETTLED_MS) return;
    this.isFull = false;
    this.options.logger.info('The log has room for records again.');
  }
}
