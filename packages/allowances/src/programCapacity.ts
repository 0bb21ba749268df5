import type { WorkspaceLimit } from './Types.js';

/** The part of the burst that is kept for programs under way. */
const KEPT_BURST_SHARE = 0.25;

/** Seconds over which the rest of the burst is spread. */
const BURST_SPREAD_SECONDS = 2;

/** Requests a second of a program, until it has been seen what programs need. */
export const DEFAULT_PROGRAM_RATE = 5;

/** What is known of a workspace when a program wants to begin. */
export interface WorkspaceLoad {
  readonly limit: WorkspaceLimit;
  /** Requests that are left in its bucket. */
  readonly level: number;
  /** Programs under way. */
  readonly activePrograms: number;
  /** Requests a second of each of them. */
  readonly programRate: number;
}

/**
 * How many programs may begin. A program whose calls are refused midway has used up its share of
 * the limit for nothing, so under a rush of one workspace the limit is spent on programs under way,
 * and as many begin as it can carry to their end.
 */
export function programCapacity(load: WorkspaceLoad): number {
  const { activePrograms, level, limit, programRate } = load;
  const spare = Math.max(0, level - KEPT_BURST_SHARE * limit.burst) / BURST_SPREAD_SECONDS;
  return Math.floor((limit.ratePerSecond + spare) / programRate - activePrograms);
}
