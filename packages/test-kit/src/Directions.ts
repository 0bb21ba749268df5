/** Directions of a proxied connection, seen from its client. */
export const DIRECTIONS = {
  /** From the client, which opened the connection, to the server. */
  UP: 'up',
  /** From the server to the client. */
  DOWN: 'down',
  BOTH: 'both',
} as const;
