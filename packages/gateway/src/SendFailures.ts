/** Kinds of failure when a request is sent to a target. */
export const SEND_FAILURES = {
  /** No byte of the request was written. */
  NOT_SENT: 'not-sent',
  /** The target reported that it did not run the request. */
  NOT_RUN: 'not-run',
  /** The response is missing or incomplete; the target may have run the request. */
  LOST: 'lost',
} as const;
