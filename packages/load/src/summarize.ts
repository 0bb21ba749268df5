import * as os from 'node:os';

import * as hdr from 'hdr-histogram-js';

import type { Arrival, ProgramRecord, ProgramState, RunRecord, RunSummary } from './Types.js';
import * as countWithinRate from './countWithinRate.js';
import * as idealTimes from './idealTimes.js';
import type { Scenario } from './scenarios.js';

const HIGHEST_LATENCY_MS = 120_000;
const SIGNIFICANT_DIGITS = 3;
/** Maximum number of reported failure reasons, and of characters of each. */
const SHOWN_FAILURES = 5;
const REASON_CHARACTERS = 120;
const P50 = 50;
const P95 = 95;

/** Computes the summary of a run. */
export function summarize(
  scenario: Scenario,
  arrivals: readonly Arrival[],
  record: RunRecord,
): RunSummary {
  // The duration of a program that its budget stops depends on the budget, not on the latency.
  const measured = record.programs.filter(({ state }) => state === 'completed');
  const withoutBurst = measured.filter(
    ({ arrival }) => arrival.workspace !== scenario.burst?.workspace,
  );
  const histogram = histogramOf(withoutBurst);
  const slowdowns = slowdownsOf(measured);
  const rate = countWithinRate.countWithinRate(scenario, record.calls);
  return {
    programs: record.programs.length,
    states: countStates(record.programs),
    medianMs: histogram.getValueAtPercentile(P50),
    p95Ms: histogram.getValueAtPercentile(P95),
    worstWorkspace: worstWorkspaceOf(slowdownsOf(withoutBurst)),
    slowdowns,
    wastedTokens: sum(record.prefills, (call) =>
      Math.max(0, call.historyTokens - call.cachedTokens),
    ),
    prefilledTokens: sum(record.prefills, (call) => call.promptTokens - call.cachedTokens),
    withinRate: rate.admittedByIdeal,
    refusedWithinRate: rate.refused,
    refusals: countRefusals(record),
    offeredLoad: idealTimes.offeredLoad(scenario, arrivals),
    machineLoad: (os.loadavg()[0] ?? NaN) / os.availableParallelism(),
    failures: failuresOf(record.programs),
    breaches: record.breaches,
  };
}

function histogramOf(programs: readonly ProgramRecord[]): hdr.Histogram {
  const histogram = hdr.build({
    highestTrackableValue: HIGHEST_LATENCY_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
  programs.forEach(({ latencyMs }) => {
    histogram.recordValue(Math.min(HIGHEST_LATENCY_MS, Math.max(1, Math.round(latencyMs))));
  });
  return histogram;
}

function slowdownsOf(programs: readonly ProgramRecord[]): Readonly<Record<string, number>> {
  const workspaces = [...new Set(programs.map(({ arrival }) => arrival.workspace))].sort();
  return Object.fromEntries(
    workspaces.map((workspace) => {
      const own = programs.filter(({ arrival }) => arrival.workspace === workspace);
      return [workspace, sum(own, slowdownOf) / own.length];
    }),
  );
}

function slowdownOf({ idealMs, latencyMs }: ProgramRecord): number {
  return latencyMs / Math.max(1, idealMs);
}

function worstWorkspaceOf(slowdowns: Readonly<Record<string, number>>): string {
  const sorted = Object.entries(slowdowns).sort(([, left], [, right]) => right - left);
  return sorted[0]?.[0] ?? '';
}

function countStates(programs: readonly ProgramRecord[]): Readonly<Record<ProgramState, number>> {
  const count = (wanted: ProgramState) => programs.filter(({ state }) => state === wanted).length;
  return {
    completed: count('completed'),
    'stopped-by-budget': count('stopped-by-budget'),
    refused: count('refused'),
    failed: count('failed'),
  };
}

function failuresOf(programs: readonly ProgramRecord[]): readonly string[] {
  const reasons = programs
    .filter(({ state }) => state === 'failed')
    .map(({ reason }) => (reason ?? 'no reason').slice(0, REASON_CHARACTERS));
  return [...new Set(reasons)].slice(0, SHOWN_FAILURES);
}

function countRefusals(record: RunRecord): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  record.calls.forEach(({ refusal }) => {
    if (refusal !== undefined) counts[refusal] = (counts[refusal] ?? 0) + 1;
  });
  return counts;
}

function sum<Item>(items: readonly Item[], value: (item: Item) => number): number {
  return items.reduce((total, item) => total + value(item), 0);
}
