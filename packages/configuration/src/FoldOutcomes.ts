/** The outcome of applying a record of the configuration stream. */
export const FOLD_OUTCOMES = {
  /** The edit took effect. */
  APPLIED: 'applied',
  /** An edit with the same id has already taken effect. */
  REPEATED: 'repeated',
  /** The edit is based on a version that is no longer current. */
  CONFLICT: 'conflict',
  /** The resulting configuration fails the checks. */
  INVALID: 'invalid',
  /** The snapshot replaced the reader's state by a later one. */
  ADOPTED: 'adopted',
  /** The record has no effect for this reader. */
  IGNORED: 'ignored',
  /** Earlier records are missing, so the record waits until a snapshot is read. */
  WAITING: 'waiting',
} as const;
