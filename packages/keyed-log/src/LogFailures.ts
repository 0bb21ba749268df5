/** The reasons why a call to the keyed log can fail. */
export const LOG_FAILURES = {
  /** The call had no effect: the log was unreachable or rejected the call. */
  UNAVAILABLE: 'unavailable',
  /** No response was received. The call may have taken effect, or may still do so. */
  LOST: 'lost',
  /** The partition does not end at the expected offset. */
  CONFLICT: 'conflict',
  /** The log knows a later epoch of the producer, or the sequence number is not the next one. */
  FENCED: 'fenced',
  /** The requested records are no longer retained. */
  EXPIRED: 'expired',
  /** The log has no space left. */
  FULL: 'full',
} as const;
