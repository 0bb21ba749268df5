/** The ways in which a call of a target fails. */
export const TARGET_FAILURES = {
  /** No byte of the request was written: the call cannot have run. */
  NOT_SENT: 'not-sent',
  /** The connection broke after the request was written, and the target is not reachable. */
  DIED: 'died',
  /** The connection broke or went silent, but the target answers on a new one. */
  BROKEN: 'broken',
  /** A time limit passed. */
  TIMED_OUT: 'timed-out',
  /** The target answered with an error status. */
  REFUSED: 'refused',
  /** The target refused the call's fencing number as old. */
  FENCED: 'fenced',
  /** The target's answer cannot be understood. */
  INVALID: 'invalid',
  /** The caller gave up. */
  CANCELLED: 'cancelled',
} as const;
