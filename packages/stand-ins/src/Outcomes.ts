/** Possible outcomes of a request to a target. */
export const OUTCOMES = {
  FINISHED: 'finished',
  CANCELLED: 'cancelled',
  /** Rejected with an error status. */
  REFUSED: 'refused',
  /** The connection was destroyed by a fault. */
  DROPPED: 'dropped',
  CRASHED: 'crashed',
} as const;
