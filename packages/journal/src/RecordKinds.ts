/** The kinds of records in a shard's stream. */
export const RECORD_KINDS = {
  /** A record of the application that uses the journal. */
  BODY: 'body',
  /** Names a new owner and standby. */
  CLAIM: 'claim',
  /** The owner releases the shard. */
  RELEASE: 'release',
  /** Repeats the owner's claim for readers that start after earlier records have expired. */
  CHECKPOINT: 'checkpoint',
} as const;
