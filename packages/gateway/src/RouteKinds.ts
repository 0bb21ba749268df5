/** Whether a request whose outcome is unknown may be sent again. */
export const ROUTE_KINDS = {
  /** The request may run more than once. */
  REPEATABLE: 'repeatable',
  /** The request must run at most once. */
  ONCE: 'once',
  /** The response is a stream of events; repeatable only if the route is resumable. */
  STREAM: 'stream',
} as const;
