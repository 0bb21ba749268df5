/** How durably a record is stored. */
export const DURABILITIES = {
  /** The platform's log holds the record. */
  JOURNALED: 'journaled',
  /** Only the shard's owner and standby hold the record, because the log is down. */
  REPLICATED: 'replicated',
} as const;
