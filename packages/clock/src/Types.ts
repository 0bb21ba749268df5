/** A duration or a clock reading, in milliseconds. */
export type Milliseconds = number;

/** A started timer. */
export interface Timer {
  /** Stops the timer. Has no effect if it was stopped before or has fired. */
  cancel(): void;
}

/** The only source of time in a process. Readings of different processes are never compared. */
export interface Clock {
  /** Returns a monotonic reading in milliseconds. It never decreases. */
  now(): Milliseconds;

  /**
   * Returns the time of day in milliseconds since the Unix epoch. It is for display, and for ages
   * where an error of many seconds does no harm: the clocks of VMs differ and may jump.
   */
  timeOfDay(): Milliseconds;

  /** Resolves after the given duration, or at once when the signal aborts. It never rejects. */
  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;

  /**
   * Calls a function once after the given duration. Cheaper than a sleep if it is usually stopped
   * early.
   */
  startTimer(duration: Milliseconds, onEnd: () => void): Timer;
}
