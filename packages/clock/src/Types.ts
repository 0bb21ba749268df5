/** A span of time in milliseconds. */
export type Milliseconds = number;

/** A timer that has been started. */
export interface Timer {
  /** Stops the timer; afterwards, or when it has fired, nothing happens. */
  cancel(): void;
}

/** The one source of time of a process. Readings of two processes are never compared. */
export interface Clock {
  /** Returns a monotonic reading in milliseconds. It never goes back. */
  now(): Milliseconds;

  /**
   * Returns the time of day in milliseconds since the epoch, for people to read, and as a hint where
   * an age that is wrong by many seconds does no harm: clocks differ and jump.
   */
  timeOfDay(): Milliseconds;

  /** Resolves after the given span, or at once when the signal aborts. It never rejects. */
  sleep(span: Milliseconds, signal?: AbortSignal): Promise<void>;

  /** Calls a function once after the given span. Cheaper than a sleep where it is mostly stopped. */
  startTimer(span: Milliseconds, onEnd: () => void): Timer;
}
