import type * as clock from '@limpettack/clock';
import type { CallDescription, TargetCandidate, TargetChoice } from './Types.js';
import * as predictions from './predictions.js';
import * as capacity from './capacity.js';

/** Round-trip time to a target in another failure domain. */
const DISTANCE_MS = 3;

/** Relative slowdown of each call in a full batch. */
const BATCH_SLOWDOWN = 0.25;

/** A call waits for a full target only if its cost is below this share of the alternative. */
const WAITING_MARGIN = 0.8;

/** Chooses the target with the lowest cost: wait, uncached prefill, batch slowdown, distance. */
export const cheapestTarget: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const cost = (candidate: TargetCandidate) => costMs(call, candidate, ownFailureDomain);
  const available = cheapest(candidates.filter(capacity.hasCapacity), cost);
  const best = cheapest(candidates, cost);
  if (!available || !best || capacity.hasCapacity(best)) return available;
  const savedMs = cost(available) * WAITING_MARGIN - cost(best);
  // A call waits no longer than the time that the better target saves. The wait starts when another
  // target has capacity; before that, the call could not have run anywhere.
  const mayWait = now - (call.deferredSince ?? now) < savedMs;
  return mayWait ? best : available;
};

/** Chooses the target with the lowest cost, without regard to prefix caches. */
export const cheapestWithoutAffinity: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const uncached = candidates.map((candidate) => ({ ...candidate, cachedTokens: 0 }));
  return cheapestTarget(call, uncached, ownFailureDomain, now);
};

/** Chooses the target with the lowest utilisation. */
export const leastLoadedTarget: TargetChoice = (_call, candidates) =>
  cheapest(candidates.filter(capacity.hasCapacity), capacity.utilisation);

/** Chooses the target with the longest cached prefix, even if full; otherwise the least loaded. */
export const mostCachedTarget: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const best = cheapest(candidates, (candidate) => -candidate.cachedTokens);
  if (best && best.cachedTokens > 0) return best;
  return leastLoadedTarget(call, candidates, ownFailureDomain, now);
};

/** Creates a choice that rotates over the targets with capacity. Each result has its own state. */
export function createRoundRobin(): TargetChoice {
  let turn = 0;
  return (_call, candidates) => {
    const available = candidates.filter(capacity.hasCapacity);
    if (available.length === 0) return undefined;
    turn += 1;
    return available[turn % available.length];
  };
}

function costMs(
  call: CallDescription,
  candidate: TargetCandidate,
  ownFailureDomain: string,
): clock.Milliseconds {
  const distanceMs = candidate.failureDomain === ownFailureDomain ? 0 : DISTANCE_MS;
  const decodeMs = predictions.decodeMs(call, candidate);
  const slowdownMs = decodeMs * BATCH_SLOWDOWN * capacity.utilisation(candidate);
  const waitMs = predictions.slotWaitMs(call, candidate);
  return waitMs + predictions.prefillMs(call, candidate) + slowdownMs + distanceMs;
}

function cheapest(
  candidates: readonly TargetCandidate[],
  cost: (candidate: TargetCandidate) => number,
): TargetCandidate | undefined {
  const [first, ...others] = candidates;
  if (!first) return undefined;
  return others.reduce((best, other) => (cost(other) < cost(best) ? other : best), first);
}
