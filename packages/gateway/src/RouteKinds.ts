/** What may be done with a request whose outcome is not known. */
export const ROUTE_KINDS = {
  /** It may run more than once. */
  REPEATABLE: 'repeatable',
  /** It may run once at most. */
  ONCE: 'once',
  /** Answered by a stream of events; repeatable only where the route is resumable. */
  STREAM: 'stream',
} as const;
