/** How a call that a target was sent can end. */
export const OUTCOMES = {
  FINISHED: 'finished',
  CANCELLED: 'cancelled',
  /** Refused with an error status. */
  REFUSED: 'refused',
  /** The connection was destroyed by a fault. */
  DROPPED: 'dropped',
  CRASHED: 'crashed',
} as const;
