import type { CallRecord } from './Types.js';
import type { Scenario } from './scenarios.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Requests within rate, and how many as many were refused. */
export interface WithinRate {
  /** Requests that one ideal bucket for the whole fleet admits. */
  readonly admittedByIdeal: number;
  /** How many fewer of them than that were taken in. */
  readonly refused: number;
}

/** Sets the refusals of each workspace against an ideal single bucket of its rate and burst. */
export function countWithinRate(scenario: Scenario, calls: readonly CallRecord[]): WithinRate {
  const counts = scenario.workspaces.map((workspace) => {
    const own = calls
      .filter((call) => call.workspace === workspace.name)
      .sort((left, right) => left.sentAtMs - right.sentAtMs);
    const admittedByIdeal = countAdmitted(own, workspace.ratePerSecond, workspace.burst);
    // A connection that broke tells nothing about admission.
    const taken = own.filter((call) => !isRefusedNow(call)).length;
    return { admittedByIdeal, refused: Math.max(0, admittedByIdeal - taken) };
  });
  return {
    admittedByIdeal: counts.reduce((sum, count) => sum + count.admittedByIdeal, 0),
    refused: counts.reduce((sum, count) => sum + count.refused, 0),
  };
}

/** Refusals with a time to come back; others are answers to the request itself. */
function isRefusedNow(call: CallRecord): boolean {
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
