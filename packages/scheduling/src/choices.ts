import type * as clock from '@limpettack/clock';
import type { CallDescription, TargetCandidate, TargetChoice } from './Types.js';
import * as predictions from './predictions.js';
import * as room from './room.js';

/** Round trip to a target in another failure domain. */
const DISTANCE_MS = 3;

/** Share by which a full batch slows down each of its calls. */
const BATCH_SLOWDOWN = 0.25;

/** A full target is waited for only when it is cheaper by this factor. */
const WAITING_MARGIN = 0.8;

/** The cheapest target by wait, uncached prefill and distance. */
export const cheapestTarget: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const cost = (candidate: TargetCandidate) => costMs(call, candidate, ownFailureDomain);
  const open = cheapest(candidates.filter(room.hasRoom), cost);
  const best = cheapest(candidates, cost);
  if (!open || !best || room.hasRoom(best)) return open;
  const savedMs = cost(open) * WAITING_MARGIN - cost(best);
  // The wait is worth no more than what it saves, so a call that has been held back so long moves.
  // Time in which no target had room does not count: the call could not have gone anywhere.
  const mayWait = now - (call.heldBackSince ?? now) < savedMs;
  return mayWait ? best : open;
};

/** The cheapest target as if none had anything cached. */
export const cheapestWithoutAffinity: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const uncached = candidates.map((candidate) => ({ ...candidate, cachedTokens: 0 }));
  return cheapestTarget(call, uncached, ownFailureDomain, now);
};

/** The target with the smallest share of its slots taken. */
export const leastLoadedTarget: TargetChoice = (_call, candidates) =>
  cheapest(candidates.filter(room.hasRoom), room.utilisation);

/** The target with the most of the prompt cached, also when it is full; else the least loaded. */
export const mostCachedTarget: TargetChoice = (call, candidates, ownFailureDomain, now) => {
  const best = cheapest(candidates, (candidate) => -candidate.cachedTokens);
  if (best && best.cachedTokens > 0) return best;
  return leastLoadedTarget(call, candidates, ownFailureDomain, now);
};

/** Takes the targets with room in turn. Each result counts on its own. */
export function createRoundRobin(): TargetChoice {
  let turn = 0;
  return (_call, candidates) => {
    const open = candidates.filter(room.hasRoom);
    if (open.length === 0) return undefined;
    turn += 1;
    return open[turn % open.length];
  };
}

function costMs(
  call: CallDescription,
  candidate: TargetCandidate,
  ownFailureDomain: string,
): clock.Milliseconds {
  const distanceMs = candidate.failureDomain === ownFailureDomain ? 0 : DISTANCE_MS;
  const decodeMs = predictions.decodeMs(call, candidate);
  const slowdownMs = decodeMs * BATCH_SLOWDOWN * room.utilisation(candidate);
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
