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
  /** Weights of targets by id, between 0 and 1; 1 for those that are missing. */
  readonly weights?: ReadonlyMap<string, number> | undefined;
  /** Called if another target would have been chosen with weights of 1. */
  readonly onMoved?: (() => void) | undefined;
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
 *
 * Weights reduce the share of targets that are slow or busy according to other VMs. They are
 * probabilities and not an order, because VMs with the same outdated information would otherwise
 * all move to the same target.
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
  const { affinity = '' } = query;
  const unweighted = firstBelowBound(
    query,
    keyedLog.rankByRendezvous(affinity, candidates, ({ id }) => id),
  );
  if (!hasWeights(query, candidates)) return unweighted;
  const ranked = keyedLog.rankByWeightedRendezvous(
    affinity,
    candidates,
    ({ id }) => id,
    (target) => weightOf(query, target),
  );
  const chosen = firstBelowBound(query, ranked);
  if (chosen !== unweighted) query.onMoved?.();
  return chosen;
}

function firstBelowBound(query: TargetQuery, ranked: readonly Target[]): Target | undefined {
  const total = ranked.reduce((sum, target) => sum + inFlight(query, target), 0);
  const bound = BASE_CALL_BOUND + (LOAD_FACTOR * total) / Math.max(1, ranked.length);
  return ranked.find((target) => inFlight(query, target) < bound) ?? ranked[0];
}

function chooseLeastLoaded(query: TargetQuery, candidates: readonly Target[]): Target | undefined {
  const minimum = Math.min(...candidates.map((target) => inFlight(query, target)));
  const leastLoaded = candidates.filter((target) => inFlight(query, target) === minimum);
  const local = leastLoaded.filter((target) => isLocal(query, target));
  const preferred = local.length > 0 ? local : leastLoaded;
  const drawn = preferred[Math.floor(query.random() * preferred.length)];
  if (drawn === undefined) return undefined;
  const weight = weightOf(query, drawn);
  if (weight === 1 || query.random() < weight) return drawn;
  const chosen = drawByWeight(query, leastLoaded);
  if (chosen !== drawn) query.onMoved?.();
  return chosen;
}

function drawByWeight(query: TargetQuery, candidates: readonly Target[]): Target | undefined {
  const total = candidates.reduce((sum, target) => sum + weightOf(query, target), 0);
  let left = query.random() * total;
  const found = candidates.find((target) => {
    left -= weightOf(query, target);
    return left < 0;
  });
  // The sum may be reached only by rounding.
  return found ?? candidates.at(-1);
}

function hasWeights(query: TargetQuery, candidates: readonly Target[]): boolean {
  return candidates.some((target) => weightOf(query, target) !== 1);
}

function weightOf(query: TargetQuery, target: Target): number {
  return query.weights?.get(target.id) ?? 1;
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
