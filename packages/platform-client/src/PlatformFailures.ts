/** The kinds of failure of a call to the platform. */
export const PLATFORM_FAILURES = {
  /** The platform is unreachable or down. The call had no effect. */
  UNAVAILABLE: 'unavailable',
  /** The response was lost. The call may have taken effect. */
  LOST: 'lost',
  /** The call exceeded the rate limit of the platform. It had no effect. */
  RATE_LIMITED: 'rate-limited',
  /** The requested records are no longer retained. */
  EXPIRED: 'expired',
  /** The platform responded with an unexpected status below 500, or with a malformed 410. */
  INVALID: 'invalid',
} as const;
