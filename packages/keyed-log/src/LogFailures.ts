/** The ways in which a call of the keyed log fails. */
export const LOG_FAILURES = {
  /** Nothing was done: the log could not be reached or turned the call away. */
  UNAVAILABLE: 'unavailable',
  /** No answer came. The call may have taken effect, or may still do so. */
  LOST: 'lost',
  /** The partition does not end at the expected offset. */
  CONFLICT: 'conflict',
  /** A later epoch of the producer has been seen, or the sequence number is not the next one. */
  FENCED: 'fenced',
  /** The records asked for are no longer kept. */
  EXPIRED: 'expired',
  /** The log has no room left. */
  FULL: 'full',
} as const;
