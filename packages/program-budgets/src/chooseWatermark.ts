import type * as clock from '@limpettack/clock';
import type { Reservation } from './Types.js';

/** How far and for how long the watermark of a program stays ahead of its turns. */
export interface WatermarkPlan {
  /** The watermark is raised when it covers fewer further turns. */
  readonly minimumTurnsAhead: number;
  /** Number of further turns that a raised watermark covers. */
  readonly turnsAhead: number;
  /** Maximum share of the remaining budget that a raised watermark covers in advance. */
  readonly maximumShare: number;
  /** Idle time after which the watermark is lowered to the tokens that the program has used. */
  readonly loweringDelayMs: clock.Milliseconds;
  /** Whether turns may deliver some output before the watermark covers them. */
  readonly allowsUncovered: boolean;
}

/**
 * The plan for retained turns. A larger number of turns saves appends, but if the home is lost, all
 * tokens up to the watermark are treated as used, so programs with small budgets would end early.
 */
export const SHORT_PLAN: WatermarkPlan = {
  minimumTurnsAhead: 1,
  turnsAhead: 1,
  maximumShare: 1,
  loweringDelayMs: 300,
  allowsUncovered: false,
};

/**
 * The plan for turns that need the log only for their budget. Addresses programs of about 7 turns,
 * one each 450 ms, that run while the log is unavailable for 4 to 7 s: a turn uses less than half of
 * its maximum, so 4 turns ahead are enough for 8 or more. The delay exceeds the usual pause between
 * two turns of a program, so that the watermark is not lowered while the program runs. Half of the
 * remaining budget is left to programs whose home is lost: with less, many of those that ran when all
 * VMs lost power were refused.
 */
export const LONG_PLAN: WatermarkPlan = {
  minimumTurnsAhead: 2,
  turnsAhead: 4,
  maximumShare: 0.5,
  loweringDelayMs: 2_000,
  allowsUncovered: true,
};

/** Chooses the plan for a turn. A VM of an earlier release does not state `isRetained`. */
export function choosePlan(
  { isRetained }: Pick<Reservation, 'isRetained'>,
  programsContinueDuringOutages: boolean,
): WatermarkPlan {
  return programsContinueDuringOutages && isRetained === false ? LONG_PLAN : SHORT_PLAN;
}

/** What the choice of a watermark depends on. */
export interface WatermarkInput {
  /** Tokens that have been used or are reserved, including those of the turn. */
  readonly committedTokens: number;
  /** Tokens that the log is certain to cover. */
  readonly coveredTokens: number;
  /** Maximum number of tokens that the turn may generate. */
  readonly turnTokens: number;
  readonly budgetTokens: number;
}

/** Returns the watermark to write after a turn was reserved; undefined if none must be written. */
export function chooseWatermark(
  { budgetTokens, committedTokens, coveredTokens, turnTokens }: WatermarkInput,
  { maximumShare, minimumTurnsAhead, turnsAhead }: WatermarkPlan,
): number | undefined {
  const remainingTokens = Math.max(0, budgetTokens - committedTokens);
  const aheadTokens = Math.min(turnsAhead * turnTokens, maximumShare * remainingTokens);
  const minimumTokens = (minimumTurnsAhead / turnsAhead) * aheadTokens;
  if (committedTokens + minimumTokens <= coveredTokens) return undefined;
  const desired = committedTokens + Math.floor(aheadTokens);
  // Caps the watermark so that one more turn fits into the budget: after a move, the next owner
  // treats all tokens up to the watermark as used.
  const watermark = Math.max(committedTokens, Math.min(desired, budgetTokens - turnTokens));
  return watermark > coveredTokens ? watermark : undefined;
}
