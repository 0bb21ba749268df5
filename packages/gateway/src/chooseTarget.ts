import * as keyedLog from '@limpettack/keyed-log';
import type * as targetScores from './TargetScores.js';
import type { Target } from './Types.js';

/**
 * The load bound of a target contains the mean number of calls, multiplied by this factor. A target
 * at its bound is passed over for the next one in the ranking.
 */
const LOAD_FACTOR = 1.5;

/**
 * Constant part of the load bound: number of calls that a target may have even if the others have
 * none.
 */
const BASE_CALL_BOUND = 2;

/** Inputs of `chooseTarget`. */
export interface TargetQuery {
  readonly candidates: readonly Target[];
  readonly scores: ReadonlyMap<string, targetScores.TargetScore>;
  /** Calls with the same affinity prefer the same target; undefined if there is no preference. */
  readonly affinity: string | undefined;
  /** Whether the call may be sent to another target if this one fails. */
  readonly isRepeatable: boolean;
  readonly ownFailureDomain: string;
  /** Whether a target has just started and is slow. If undefined, no target is cold. */
  readonly isCold?: (target: Target) => boolean;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

/**
 * Chooses a target. Targets that are neither paused (after a failure, or when full) nor slow come
 * first, then slow ones, then cold ones, then paused ones. A call that must not be repeated is lost
 * if its target fails, so it goes to a target on probation only if all others are paused.
 *
 * With an affinity, chooses the first target by rendezvous hashing whose load is below a bound that
 * depends on the mean load. Calls with the same prompt prefix thus reach the target that has cached
 * it, and a popular prefix does not overload that target.
 *
 * Without an affinity, chooses one of the least loaded targets at random, preferably in the own
 * failure domain. When hundreds of VMs each have hardly any call in flight, all targets look equally
 * loaded to them, and a fixed order would make all VMs choose the same target.
 */
export function chooseTarget(query: TargetQuery): Target | undefined {
  const { affinity, candidates, isCold } = query;
  const warm = candidates.filter((target) => isCold?.(target) !== true);
  const eligible =
    [
      warm.filter((target) => isHealthy(query, target)),
      warm.filter((target) => isTrusted(query, target) && !isPaused(query, target)),
      candidates.filter((target) => isTrusted(query, target) && !isPaused(query, target)),
      candidates.filter((target) => !isPaused(query, target)),
    ].find((targets) => targets.length > 0) ?? candidates;
  return affinity === undefined
    ? chooseLeastLoaded(query, eligible)
    : chooseByHash(query, eligible);
}

function chooseByHash(query: TargetQuery, candidates: readonly Target[]): Target | undefined {
  const ranked = keyedLog.rankByRendezvous(query.affinity ?? '', candidates, ({ id }) => id);
  const total = candidates.reduce((sum, target) => sum + inFlight(query, target), 0);
  const bound = BASE_CALL_BOUND + (LOAD_FACTOR * total) / Math.max(1, candidates.length);
  return ranked.find((target) => inFlight(query, target) < bound) ?? ranked[0];
}

function chooseLeastLoaded(query: TargetQuery, candidates: readonly Target[]): Target | undefined {
  const minimum = Math.min(...candidates.map((target) => inFlight(query, target)));
  const leastLoaded = candidates.filter((target) => inFlight(query, target) === minimum);
  const local = leastLoaded.filter((target) => isLocal(query, target));
  const preferred = local.length > 0 ? local : leastLoaded;
  return preferred[Math.floor(query.random() * preferred.length)];
}

function isLocal(query: TargetQuery, target: Target): boolean {
  return target.failureDomain === query.ownFailureDomain;
}

function isHealthy(query: TargetQuery, target: Target): boolean {
  const score = query.scores.get(target.id);
  if (score === undefined) return true;
  return !score.isPaused && !score.isSlow && isTrusted(query, target);
}

function isTrusted(query: TargetQuery, target: Target): boolean {
  return query.isRepeatable || !(query.scores.get(target.id)?.isOnProbation ?? false);
}

function isPaused(query: TargetQuery, target: Target): boolean {
  return query.scores.get(target.id)?.isPaused ?? false;
}

function inFlight(query: TargetQuery, target: Target): number {
  return query.scores.get(target.id)?.inFlight ?? 0;
}
