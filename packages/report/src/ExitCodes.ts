/** The exit codes of `limpettack-report`. */
export const EXIT_CODES = {
  OK: 0,
  /** No sample could be read, a file cannot be written, or with `--check` a budget is exhausted. */
  FAILED: 1,
  /** The command line is invalid. */
  USAGE: 2,
  /** The file of objectives is invalid. */
  INVALID: 4,
} as const;
