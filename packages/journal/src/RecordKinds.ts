/** The kinds of records in a shard's stream. */
export const RECORD_KINDS = {
  /** A record of the part that uses the journal. */
  BODY: 'body',
  /** Names a new owner and standby. */
  CLAIM: 'claim',
  /** The owner gives the shard up. */
  RELEASE: 'release',
  /** The owner repeats its claim, for readers that start after records have expired. */
  CHECKPOINT: 'checkpoint',
} as const;
