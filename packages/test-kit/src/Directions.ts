/** Directions of a proxied connection. */
export const DIRECTIONS = {
  /** From the side that opened the connection. */
  UP: 'up',
  /** To the side that opened the connection. */
  DOWN: 'down',
  BOTH: 'both',
} as const;
