/** The ways in which a message to a peer fails. */
export const PEER_FAILURES = {
  /** Nothing of the message was given to a connection: the peer cannot have seen it. */
  NOT_SENT: 'not-sent',
  /** The connection was lost after the message was given to it. */
  LOST: 'lost',
  /** No answer came within the time limit; the peer may have seen the message. */
  TIMED_OUT: 'timed-out',
  /** The peer answered with a fault. */
  REFUSED: 'refused',
} as const;
