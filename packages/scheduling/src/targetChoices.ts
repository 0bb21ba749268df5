import type * as clock from '@limpettack/clock';
import type { CallDescription, TargetCandidate, TargetChoice } from './Types.js';
import * as predictions from './predictions.js';
import * as capacity from './capacity.js';

/** Round-trip time to a target in another failure domain. */
const REMOTE_ROUND_TRIP_MS = 3;

/** Relative slowdown of each call in a full batch. */
const BATCH_SLOWDOWN = 0.25;

/**
 * A call waits for a full target only if that costs less than this share of the cost of the best
 * target with capacity.
 */
const WAITING_MARGIN = 0.8;

/**
 * Chooses the target with the lowest cost: the sum of wait, uncached prefill, batch slowdown and
 * distance. A full target is chosen only if waiting for it saves enough.
 */
export const cheapestTarget: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const cost = (candidate: TargetCandidate) => costMs(call, candidate, ownFailureDomain);
  const available = cheapest(candidates.filter(capacity.hasCapacity), cost);
  const best = cheapest(candidates, cost);
  if (!available || !best || capacity.hasCapacity(best)) return available;
  const savedMs = cost(available) * WAITING_MARGIN - cost(best);
  // A call waits no longer than the time that the better target saves. Only the time since another
  // target had capacity is counted; before that, the call could not have run anywhere.
  const mayWait = now - (call.deferredSince ?? now) < savedMs;
  return mayWait ? best : available;
};

/** Chooses the target with the lowest cost, without regard to prefix caches. */
export const cheapestWithoutAffinity: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const uncached = candidates.map((candidate) => ({ ...candidate, cachedTokens: 0 }));
  return cheapestTarget(call, uncached, ownFailureDomain, now);
};

/** Chooses the target with the lowest utilisation among those with capacity. */
export const leastLoadedTarget: TargetChoice = (_call, candidates) =>
  cheapest(candidates.filter(capacity.hasCapacity), capacity.utilisation);

/**
 * Chooses the target with the longest cached prefix, even if it is full. If no target has cached
 * any of the prompt, chooses the least loaded target with capacity.
 */
export const mostCachedTarget: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const best = cheapest(candidates, (candidate) => -candidate.cachedTokens);
  if (best && best.cachedTokens > 0) return best;
  return leastLoadedTarget(call, candidates, ownFailureDomain, now);
};

/**
 * Creates a function that chooses the targets with capacity in rotation. Each function has its own
 * state.
 */
export function createRoundRobin(): TargetChoice {
  let position = 0;
  return (_call, candidates) => {
    const available = candidates.filter(capacity.hasCapacity);
    if (available.length === 0) return undefined;
    position += 1;
    return available[position % available.length];
  };
}

function costMs(
  call: CallDescription,
  candidate: TargetCandidate,
  ownFailureDomain: string,
): clock.Milliseconds {
  const distanceMs = candidate.failureDomain === ownFailureDomain ? 0 : REMOTE_ROUND_TRIP_MS;
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
