/** The exit codes of `limpettackctl`. */
export const EXIT_CODES = {
  OK: 0,
  /** The command was understood and did not succeed. */
  FAILED: 1,
  /** The command line is wrong. */
  USAGE: 2,
  /** Another operator's edit came first. */
  CONFLICT: 3,
  /** A file or an edit does not pass the checks. */
  INVALID: 4,
  /** The platform or the operators' port cannot be reached. */
  UNAVAILABLE: 5,
} as const;
