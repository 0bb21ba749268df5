/** How safe a record is. */
export const DURABILITIES = {
  /** The platform's log holds it. */
  JOURNALED: 'journaled',
  /** The shard's standby holds it; the log is down. */
  REPLICATED: 'replicated',
} as const;
