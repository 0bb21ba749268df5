import type { TargetCandidate } from './Types.js';

/**
 * Maximum number of calls beyond its slots that a target may get, as a share of the slots. The load
 * of other processes is known only from delayed reports. Without these additional calls, a slot
 * that another process has released would stay empty until the next report. The target queues the
 * additional calls by priority.
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

/**
 * Number of slots that this process may use: those left by other processes, but at least one,
 * within its concurrency limit.
 */
export function usableSlots(candidate: TargetCandidate): number {
  const left = Math.max(1, candidate.slots - candidate.otherInFlight);
  return Math.min(candidate.concurrencyLimit, left);
}
