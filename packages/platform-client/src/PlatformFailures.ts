/** The ways in which a call of the platform fails. */
export const PLATFORM_FAILURES = {
  /** The platform cannot be reached or is down; the call had no effect. */
  UNAVAILABLE: 'unavailable',
  /** The answer was lost; the call may have taken effect. */
  LOST: 'lost',
  /** The platform refused the call for its rate; it had no effect. */
  RATE_LIMITED: 'rate-limited',
  /** The records asked for are no longer kept. */
  EXPIRED: 'expired',
  /** The platform's answer cannot be understood, or it refused the call as malformed. */
  INVALID: 'invalid',
} as const;
