/** The ways in which sending a request to a target fails. */
export const SEND_FAILURES = {
  /** No byte of the request was written. */
  NOT_SENT: 'not-sent',
  /** The target says that it did not run the request. */
  NOT_RUN: 'not-run',
  /** The answer broke off or was none; the target may have run the request. */
  LOST: 'lost',
} as const;
