import type * as clock from '@limpettack/clock';
import type { TargetFailureKind } from './Types.js';
import * as targetFailures from './TargetFailures.js';

/** Ejection weights by kind of failure. Refusals have their own weight; other kinds have none. */
const FAILURE_WEIGHTS: Readonly<Partial<Record<TargetFailureKind, number>>> = {
  [targetFailures.TARGET_FAILURES.DIED]: 3,
  [targetFailures.TARGET_FAILURES.NOT_SENT]: 1,
  [targetFailures.TARGET_FAILURES.BROKEN]: 1,
  [targetFailures.TARGET_FAILURES.TIMED_OUT]: 1,
  [targetFailures.TARGET_FAILURES.INVALID]: 1,
};

const EJECTION_THRESHOLD = 3;

const MINIMUM_EJECTION_MS = 500;
const MAXIMUM_EJECTION_MS = 16_000;

/** Jitter shortens an ejection to no less than this share of its duration. */
const MINIMUM_EJECTION_SHARE = 0.5;

/** The weight of a refusal with a status that indicates a fault of the target. */
const REFUSAL_WEIGHT = 1;

const FIRST_TARGET_ERROR_STATUS = 500;

/** Returns the ejection weight of a failed call; 0 if it does not affect the target's health. */
export function failureWeight(kind: TargetFailureKind, status = 0): number {
  const isRefusal = kind === targetFailures.TARGET_FAILURES.REFUSED;
  if (isRefusal && status >= FIRST_TARGET_ERROR_STATUS) return REFUSAL_WEIGHT;
  return FAILURE_WEIGHTS[kind] ?? 0;
}

/** Ejects a failing target for a time that doubles with each ejection, up to a maximum. */
export class TargetHealth {
  private weight = 0;

  private ejections = 0;

  private ejectedUntil = -Infinity;

  public constructor(
    private readonly time: clock.Clock,
    private readonly random: () => number,
  ) {}

  /** Whether the target is ejected and must get no work. */
  public get isEjected(): boolean {
    return this.time.now() < this.ejectedUntil;
  }

  /** Time until the ejection ends; 0 if the target is not ejected. */
  public get remainingMs(): clock.Milliseconds {
    return Math.max(0, this.ejectedUntil - this.time.now());
  }

  /** Notes a successful call, which resets the failure weight and the duration of ejections. */
  public noteSuccess(): void {
    this.weight = 0;
    this.ejections = 0;
  }

  /** Notes a failed call with its weight. Returns true if it ejects the target. */
  public noteFailure(weight: number): boolean {
    // Failures of calls that started before the ejection add no information.
    if (this.isEjected) return false;
    this.weight += weight;
    if (this.weight < EJECTION_THRESHOLD) return false;
    this.eject();
    return true;
  }

  /** Notes that the target did not respond to a status request. */
  public noteUnreachable(): void {
    if (!this.isEjected) this.eject();
  }

  private eject(): void {
    const ejectionMs = Math.min(MAXIMUM_EJECTION_MS, MINIMUM_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.weight = 0;
    this.ejectedUntil =
      this.time.now() +
      ejectionMs * (MINIMUM_EJECTION_SHARE + MINIMUM_EJECTION_SHARE * this.random());
  }
}
