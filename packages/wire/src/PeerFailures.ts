/** The kinds of failure of a message to a peer. */
export const PEER_FAILURES = {
  /** No part of the message was written to a connection, so the peer cannot have received it. */
  NOT_SENT: 'not-sent',
  /** The connection was lost after the message was written, or the response is malformed. */
  LOST: 'lost',
  /** No response arrived within the timeout. The peer may have received the message. */
  TIMED_OUT: 'timed-out',
  /** The peer responded with a fault. */
  REFUSED: 'refused',
} as const;
