import type { TargetCandidate } from './Types.js';

/**
 * Calls beyond the slots that may be sent to a target, as a share of the slots. The load of other
 * processes is known only from delayed reports. Without this share, a slot that another process has
 * released would stay empty until the next report. The target queues these calls by priority.
 */
const QUEUED_SHARE = 0.5;

/**
 * Whether a target may get one more call of this process. A process without a call on a target may
 * always start one there, so that other processes cannot starve it.
 */
export function hasCapacity(candidate: TargetCandidate): boolean {
  const limit = Math.min(candidate.concurrencyLimit, candidate.slots);
  if (candidate.ownInFlight >= limit) return false;
  if (candidate.ownInFlight === 0) return true;
  const queued = candidate.otherInFlight > 0 ? Math.ceil(candidate.slots * QUEUED_SHARE) : 0;
  return candidate.ownInFlight + candidate.otherInFlight < candidate.slots + queued;
}

/** Utilisation of a target: 0 if idle, 1 if all slots are taken, more if calls are queued there. */
export function utilisation(candidate: TargetCandidate): number {
  return (candidate.ownInFlight + candidate.otherInFlight) / candidate.slots;
}

/** Slots that this process may use: those left by other processes, within its concurrency limit. */
export function usableSlots(candidate: TargetCandidate): number {
  const left = Math.max(1, candidate.slots - candidate.otherInFlight);
  return Math.min(candidate.concurrencyLimit, left);
}
