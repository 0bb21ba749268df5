/** What became of a record of the configuration stream. */
export const FOLD_OUTCOMES = {
  /** The edit took effect. */
  APPLIED: 'applied',
  /** An edit of this id has already taken effect. */
  REPEATED: 'repeated',
  /** Another edit came first. */
  CONFLICT: 'conflict',
  /** The edit does not pass the checks. */
  INVALID: 'invalid',
  /** The snapshot brought the reader to a later state. */
  ADOPTED: 'adopted',
  /** The record changes nothing for this reader. */
  IGNORED: 'ignored',
  /** Records before this one are missing; it waits for a snapshot. */
  WAITING: 'waiting',
} as const;
