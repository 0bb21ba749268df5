/** What the allowance of a turn depends on. */
export interface AllowanceInput {
  /** Tokens that the log is certain to cover. */
  readonly certainTokens: number;
  /** The smallest maximum of any turn of the program so far. */
  readonly smallestTurnTokens: number;
  /** Tokens that other turns have used or reserved. */
  readonly otherTokens: number;
  /** Maximum number of tokens that the turn may generate. */
  readonly turnTokens: number;
}

/**
 * Returns how many tokens of a turn may be delivered before the log covers the turn. Addresses
 * programs that start, or use up their watermark, while the log is unavailable. All turns of a
 * program together deliver at most the maximum of one turn beyond what the log covers, because the
 * whole reservations of the other turns are deducted.
 */
export function chooseAllowance({
  certainTokens,
  otherTokens,
  smallestTurnTokens,
  turnTokens,
}: AllowanceInput): number {
  return Math.max(0, Math.min(certainTokens + smallestTurnTokens - otherTokens, turnTokens));
}
