/** What a sample of a response measures. Samples of different kinds are never compared. */
export const SAMPLE_KINDS = {
  /** Milliseconds between the chunks of a stream. */
  STREAM: 'stream',
  /** Response time divided by the smoothed response time of the route. */
  UNARY: 'unary',
} as const;
