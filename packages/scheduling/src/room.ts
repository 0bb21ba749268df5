import type { TargetCandidate } from './Types.js';

/**
 * Calls beyond the slots that may be sent to a target, as a share of the slots. What is known of the
 * calls of other processes is old, so without it a slot that another process has left would stay
 * empty until the next report. The target's own queue holds these calls, in the order of priority.
 */
const QUEUED_SHARE = 0.5;

/**
 * Tells whether a target may take one more call of this process. A process that runs nothing on a
 * target may always start one call there, so that the others can never shut it out.
 */
export function hasRoom(candidate: TargetCandidate): boolean {
  const limit = Math.min(candidate.concurrencyLimit, candidate.slots);
  if (candidate.ownInFlight >= limit) return false;
  if (candidate.ownInFlight === 0) return true;
  const queued = candidate.otherInFlight > 0 ? Math.ceil(candidate.slots * QUEUED_SHARE) : 0;
  return candidate.ownInFlight + candidate.otherInFlight < candidate.slots + queued;
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
