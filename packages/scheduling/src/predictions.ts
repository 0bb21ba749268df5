import type * as clock from '@limpettack/clock';
import type { CallDescription, TargetCandidate, WaitingCall } from './Types.js';
import * as room from './room.js';

/** Time to prefill the part of the prompt that a target has not cached. */
export function prefillMs(call: CallDescription, candidate: TargetCandidate): clock.Milliseconds {
  const uncached = Math.max(0, call.promptTokens - candidate.cachedTokens);
  return uncached * candidate.prefillMsPerToken;
}

/**
 * Time to generate the answer. Callers often allow far more tokens than come, so what calls
 * generate on the target bounds the estimate.
 */
export function decodeMs(call: CallDescription, candidate: TargetCandidate): clock.Milliseconds {
  const tokens = Math.min(call.expectedTokens, candidate.typicalTokens ?? Infinity);
  return tokens * candidate.decodeMsPerToken;
}

/** Time that a call takes on a target once it runs. */
export function serviceMs(call: CallDescription, candidate: TargetCandidate): clock.Milliseconds {
  return prefillMs(call, candidate) + decodeMs(call, candidate) + (candidate.callMs ?? 0);
}

/** Time until a slot of a target is free, when its calls resemble this one; 0 when one is. */
export function slotWaitMs(call: CallDescription, candidate: TargetCandidate): clock.Milliseconds {
  const { concurrencyLimit, otherInFlight, ownInFlight, slots } = candidate;
  const overSlots = Math.max(0, ownInFlight + otherInFlight + 1 - slots) / slots;
  const overLimit = Math.max(0, ownInFlight + 1 - concurrencyLimit) / concurrencyLimit;
  return Math.max(overSlots, overLimit) * serviceMs(call, candidate);
}

/**
 * Time that a new call waits in the queue. Calls of its own workspace go before it; calls of each
 * other workspace only as far as that workspace's equal share.
 */
export function queueWaitMs(
  call: CallDescription,
  waiting: readonly WaitingCall[],
  candidates: readonly TargetCandidate[],
): clock.Milliseconds {
  if (candidates.length === 0) return 0;
  if (waiting.length === 0 && candidates.some(room.hasRoom)) return 0;
  const slots = candidates.reduce((sum, candidate) => sum + room.usableSlots(candidate), 0);
  const callMs = meanServiceMs(call, candidates);
  const own = waiting.filter((other) => other.workspace === call.workspace);
  const ownMs = totalServiceMs(own, candidates);
  const shares = new Set(waiting.map((other) => other.workspace)).add(call.workspace).size;
  const aheadMs = Math.min(totalServiceMs(waiting, candidates), (ownMs + callMs) * shares);
  return (aheadMs + callMs) / slots;
}

function meanServiceMs(
  call: CallDescription,
  candidates: readonly TargetCandidate[],
): clock.Milliseconds {
  const total = candidates.reduce((sum, candidate) => sum + serviceMs(call, candidate), 0);
  return total / candidates.length;
}

function totalServiceMs(
  calls: readonly CallDescription[],
  candidates: readonly TargetCandidate[],
): clock.Milliseconds {
  const [sample] = candidates;
  if (!sample) return 0;
  // What a target has cached for one call says nothing about the others.
  const uncached = { ...sample, cachedTokens: 0 };
  return calls.reduce((sum, call) => sum + serviceMs(call, uncached), 0);
}
