import type * as clock from '@limpettack/clock';
import type { CallDescription, TargetCandidate, WaitingCall } from './Types.js';
import * as capacity from './capacity.js';

/** Estimated time to prefill the part of the prompt that the target has not cached. */
export function prefillMs(call: CallDescription, candidate: TargetCandidate): clock.Milliseconds {
  const uncached = Math.max(0, call.promptTokens - candidate.cachedTokens);
  return uncached * candidate.prefillMsPerToken;
}

/**
 * Estimated time to generate the output. Callers often allow far more tokens than are generated, so
 * the typical number of tokens on the target bounds the estimate.
 */
export function decodeMs(call: CallDescription, candidate: TargetCandidate): clock.Milliseconds {
  const tokens = Math.min(call.expectedTokens, candidate.typicalTokens ?? Infinity);
  return tokens * candidate.decodeMsPerToken;
}

/** Estimated run time of a call on a target. */
export function serviceMs(call: CallDescription, candidate: TargetCandidate): clock.Milliseconds {
  return prefillMs(call, candidate) + decodeMs(call, candidate) + (candidate.overheadMs ?? 0);
}

/**
 * Estimated time until a target has a free slot for this process, if its calls take as long as this
 * one; 0 if a slot is free.
 */
export function slotWaitMs(call: CallDescription, candidate: TargetCandidate): clock.Milliseconds {
  const { concurrencyLimit, otherInFlight, ownInFlight, slots } = candidate;
  const overSlots = Math.max(0, ownInFlight + otherInFlight + 1 - slots) / slots;
  const overLimit = Math.max(0, ownInFlight + 1 - concurrencyLimit) / concurrencyLimit;
  return Math.max(overSlots, overLimit) * serviceMs(call, candidate);
}

/**
 * Estimated time until a new call has passed the queue. All waiting calls of its own workspace are
 * ahead of it. Because workspaces share the slots equally, each other waiting workspace delays it
 * by no more than its own workspace does.
 */
export function queueWaitMs(
  call: CallDescription,
  waiting: readonly WaitingCall[],
  candidates: readonly TargetCandidate[],
): clock.Milliseconds {
  if (candidates.length === 0) return 0;
  if (waiting.length === 0 && candidates.some(capacity.hasCapacity)) return 0;
  const slots = candidates.reduce((sum, candidate) => sum + capacity.usableSlots(candidate), 0);
  const callMs = meanServiceMs(call, candidates);
  const own = waiting.filter((other) => other.workspace === call.workspace);
  const ownMs = totalServiceMs(own, candidates);
  const workspaceCount = new Set(waiting.map((other) => other.workspace)).add(call.workspace).size;
  const aheadMs = Math.min(totalServiceMs(waiting, candidates), (ownMs + callMs) * workspaceCount);
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
  // The cached tokens of one call do not apply to the others.
  const uncached = { ...sample, cachedTokens: 0 };
  return calls.reduce((sum, call) => sum + serviceMs(call, uncached), 0);
}
