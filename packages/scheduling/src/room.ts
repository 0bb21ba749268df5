import type { TargetCandidate } from './Types.js';

/**
 * Tells whether a target may take one more call of this process. A process that runs nothing on a
 * target may always start one call there, so that the others can never shut it out; the engine's
 * own queue holds it.
 */
export function hasRoom(candidate: TargetCandidate): boolean {
  const limit = Math.min(candidate.concurrencyLimit, candidate.slots);
  if (candidate.ownInFlight >= limit) return false;
  if (candidate.ownInFlight === 0) return true;
  return candidate.ownInFlight + candidate.otherInFlight < candidate.slots;
}

/** How full a target is: 0 when idle, 1 when all slots are taken, more when calls wait there. */
export function utilisation(candidate: TargetCandidate): number {
  return (candidate.ownInFlight + candidate.otherInFlight) / candidate.slots;
}

/** Slots that this process can count on: those left by other processes, within its own limit. */
export function usableSlots(candidate: TargetCandidate): number {
  const left = Math.max(1, candidate.slots - candidate.otherInFlight);
  return Math.min(candidate.concurrencyLimit, left);
}
