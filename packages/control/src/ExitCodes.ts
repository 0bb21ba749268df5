/** The exit codes of `limpettackctl`. */
export const EXIT_CODES = {
  OK: 0,
  /** The command is valid but did not succeed. */
  FAILED: 1,
  /** The command line is wrong. */
  USAGE: 2,
  /** Another edit took effect first, so the edit was not applied. */
  CONFLICT: 3,
  /** A file or an edit is invalid. */
  INVALID: 4,
  /** The platform or the operators' port cannot be reached. */
  UNAVAILABLE: 5,
} as const;
