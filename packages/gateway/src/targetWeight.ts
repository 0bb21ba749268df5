/**
 * Minimum weight of a slow or full target. It keeps getting a few requests, so that its recovery is
 * seen.
 */
const MINIMUM_WEIGHT = 0.1;

/**
 * The weight falls with this power of the pace. A share inversely proportional to the pace would
 * keep a slow target as full as the others, with every request on it still slow.
 */
const PACE_EXPONENT = -3;

/** Share of the slots in use from which on the weight of a target falls. */
const BUSY_SHARE = 0.5;

/** What the collector reports of a target. */
export interface TargetLoad {
  /** Time per unit of work, relative to the other targets of the pool; 1 is normal. */
  readonly pace: number;
  /** Requests in flight from the VMs of the collector's group; 0 if the target is not busy. */
  readonly inFlight: number;
}

/** Whether a target with this number of requests from all groups is busy. */
export function isBusy(inFlight: number, slots: number): boolean {
  return inFlight > 0 && inFlight >= BUSY_SHARE * slots;
}

/** Returns the weight of a target from 0 to 1, where 1 is that of a target that is not reported. */
export function targetWeight(load: TargetLoad, slots: number, groupCount: number): number {
  const { inFlight, pace } = load;
  const paceWeight = clamp(pace ** PACE_EXPONENT);
  const freeShare = (slots - inFlight * groupCount) / (slots * (1 - BUSY_SHARE));
  return paceWeight * clamp(freeShare);
}

function clamp(weight: number): number {
  return Math.min(1, Math.max(MINIMUM_WEIGHT, weight));
}
