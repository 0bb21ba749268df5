import type * as clock from '@limpettack/clock';
import type { ColdStart } from './Types.js';

/** What determines how long a target is cold. Times that do not apply are negative infinity. */
export interface ColdFacts {
  /** End of the cold period that the latest valid entry of the target states. */
  readonly statedUntil: clock.Milliseconds;
  /** When the process was first listed, if its entry did not state for how long it is cold. */
  readonly startedAt: clock.Milliseconds;
  /** When the evacuation of the failure domain was revoked, regardless of later entries. */
  readonly revokedAt: clock.Milliseconds;
}

/** The end of a target's cold period. Negative infinity if its pool has no cold targets. */
export function coldUntil(facts: ColdFacts, coldStart: ColdStart | undefined): clock.Milliseconds {
  if (coldStart === undefined) return Number.NEGATIVE_INFINITY;
  const assumedSince = Math.max(facts.startedAt, facts.revokedAt);
  return Math.max(facts.statedUntil, assumedSince + coldStart.durationMs);
}
