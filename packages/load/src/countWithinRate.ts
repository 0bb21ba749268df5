import type { CallRecord } from './Types.js';
import type { Scenario } from './scenarios.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Requests within the rate limit, and how many of them were refused. */
export interface WithinRate {
  /** Number of requests that one ideal token bucket for the whole fleet admits. */
  readonly admittedByIdeal: number;
  /** How many fewer requests the system admitted. */
  readonly refused: number;
}

/** Compares the admissions of each workspace with an ideal token bucket of its rate and burst. */
export function countWithinRate(scenario: Scenario, calls: readonly CallRecord[]): WithinRate {
  const counts = scenario.workspaces.map((workspace) => {
    const own = calls
      .filter((call) => call.workspace === workspace.name)
      .sort((left, right) => left.sentAtMs - right.sentAtMs);
    const admittedByIdeal = countAdmitted(own, workspace.ratePerSecond, workspace.burst);
    // A broken connection does not show a refusal, so it is treated as admitted.
    const admitted = own.filter((call) => !isAdmissionRefusal(call)).length;
    return { admittedByIdeal, refused: Math.max(0, admittedByIdeal - admitted) };
  });
  return {
    admittedByIdeal: counts.reduce((sum, count) => sum + count.admittedByIdeal, 0),
    refused: counts.reduce((sum, count) => sum + count.refused, 0),
  };
}

/** Whether the call got a refusal with a retry delay; others concern the request itself. */
function isAdmissionRefusal(call: CallRecord): boolean {
  return call.refusal !== undefined && (call.status === 429 || call.status >= 500);
}

function countAdmitted(calls: readonly CallRecord[], ratePerSecond: number, burst: number): number {
  let level = burst;
  let lastMs = 0;
  return calls.filter(({ sentAtMs }) => {
    const refill = ((sentAtMs - lastMs) / MILLISECONDS_PER_SECOND) * ratePerSecond;
    level = Math.min(burst, level + refill);
    lastMs = sentAtMs;
    if (level < 1) return false;
    level -= 1;
    return true;
  }).length;
}
