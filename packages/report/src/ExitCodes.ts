/** The exit codes of `limpettack-report`. */
export const EXIT_CODES = {
  OK: 0,
  /** No sample could be read, or a file cannot be written; with `--check`, a budget is used up. */
  FAILED: 1,
  /** The command line is wrong. */
  USAGE: 2,
  /** The file of objectives does not pass the checks. */
  INVALID: 4,
} as const;
