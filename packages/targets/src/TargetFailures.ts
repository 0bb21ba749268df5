/** The reasons why a call to a target can fail. */
export const TARGET_FAILURES = {
  /** No byte of the request was written, so the call cannot have run. */
  NOT_SENT: 'not-sent',
  /** The connection broke after the request was written, and the target is unreachable. */
  DIED: 'died',
  /** The connection broke or stalled, but the target responds on a new one. */
  BROKEN: 'broken',
  /** A time limit was exceeded. */
  TIMED_OUT: 'timed-out',
  /** The target responded with an error status. */
  REFUSED: 'refused',
  /** The target rejected the call's fencing number as outdated. */
  FENCED: 'fenced',
  /** The target's response is malformed. */
  INVALID: 'invalid',
  /** The caller cancelled the call. */
  CANCELLED: 'cancelled',
} as const;
