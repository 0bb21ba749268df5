import type * as clock from '@limpettack/clock';
import type { TargetFailureKind } from './Types.js';
import * as targetFailures from './TargetFailures.js';

/** How far each kind of failure goes towards ejection; those left out say nothing of health. */
const WEIGHTS: Readonly<Partial<Record<TargetFailureKind, number>>> = {
  [targetFailures.TARGET_FAILURES.DIED]: 3,
  [targetFailures.TARGET_FAILURES.NOT_SENT]: 1,
  [targetFailures.TARGET_FAILURES.BROKEN]: 1,
  [targetFailures.TARGET_FAILURES.TIMED_OUT]: 1,
  [targetFailures.TARGET_FAILURES.INVALID]: 1,
};

const EJECTION_WEIGHT = 3;

const SHORTEST_EJECTION_MS = 500;
const LONGEST_EJECTION_MS = 16_000;

/** An ejection lasts between this share of its span and the whole span. */
const JITTER_FLOOR = 0.5;

/** The weight of a refusal with a status that blames the target. */
const REFUSAL_WEIGHT = 1;

const FIRST_TARGET_ERROR_STATUS = 500;

/** How far a failed call goes towards ejection; 0 when it says nothing of the target's health. */
export function failureWeight(kind: TargetFailureKind, status = 0): number {
  const isRefusal = kind === targetFailures.TARGET_FAILURES.REFUSED;
  if (isRefusal && status >= FIRST_TARGET_ERROR_STATUS) return REFUSAL_WEIGHT;
  return WEIGHTS[kind] ?? 0;
}

/** Decides when a target is ejected and when it is tried again. */
export class TargetHealth {
  private weight = 0;

  private ejections = 0;

  private ejectedUntil = -Infinity;

  public constructor(
    private readonly time: clock.Clock,
    private readonly random: () => number,
  ) {}

  /** Whether the target gets no work now. */
  public get isEjected(): boolean {
    return this.time.now() < this.ejectedUntil;
  }

  /** Time until the target is tried again; 0 when it is not ejected. */
  public get remainingMs(): clock.Milliseconds {
    return Math.max(0, this.ejectedUntil - this.time.now());
  }

  /** Notes a call that ended well: later ejections are short again. */
  public noteSuccess(): void {
    this.weight = 0;
    this.ejections = 0;
  }

  /** Notes a failed call of a weight; true when it ejects the target. */
  public noteFailure(weight: number): boolean {
    // Calls that were under way before an ejection say nothing new.
    if (this.isEjected) return false;
    this.weight += weight;
    if (this.weight < EJECTION_WEIGHT) return false;
    this.eject();
    return true;
  }

  /** Notes that the target did not answer when it was asked for its status. */
  public noteUnreachable(): void {
    if (!this.isEjected) this.eject();
  }

  private eject(): void {
    const spanMs = Math.min(LONGEST_EJECTION_MS, SHORTEST_EJECTION_MS * 2 ** this.ejections);
    this.ejections += 1;
    this.weight = 0;
    this.ejectedUntil = this.time.now() + spanMs * (JITTER_FLOOR + JITTER_FLOOR * this.random());
  }
}
