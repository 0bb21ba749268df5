import type { RunSummary } from './Types.js';
import * as formatExperimentTable from './formatExperimentTable.js';
import * as runScenario from './runScenario.js';
import type { Scenario } from './scenarios.js';
import * as summarize from './summarize.js';

/** Compared policies, in the order of their runs for each seed; the default policy is first. */
export const COMPARED_POLICIES = [
  'fair',
  'round-robin-fifo',
  'least-load',
  'affinity-only',
  'fair-without-workspaces',
  'fair-without-attained-service',
  'fair-without-affinity',
  'fair-without-early-refusal',
] as const;

/** One run of an experiment. */
export interface ExperimentRun {
  readonly policy: string;
  readonly seed: number;
  readonly summary: RunSummary;
  /**
   * Slowdown of the worst-served workspace of this run, divided by the slowdown of the workspace
   * that the first policy served worst when that workspace runs alone.
   */
  readonly worstAgainstAlone: number;
}

/** The runs of an experiment, its table as text and the number of violated guarantees. */
export interface ExperimentResult {
  readonly runs: readonly ExperimentRun[];
  readonly text: string;
  readonly breaches: number;
}

/** Runs all policies for each seed, then the worst-served workspace of the first policy alone. */
export async function runExperiment(
  scenario: Scenario,
  seeds: number,
  report: (line: string) => void,
): Promise<ExperimentResult> {
  const runs: ExperimentRun[] = [];
  for (let seed = 1; seed <= seeds; seed += 1)
    runs.push(...(await runSeed(scenario, seed, report)));
  const text = formatExperimentTable.formatExperimentTable(scenario, runs);
  const breaches = runs.reduce((sum, run) => sum + run.summary.breaches.length, 0);
  return { runs, text, breaches };
}

async function runSeed(
  scenario: Scenario,
  seed: number,
  report: (line: string) => void,
): Promise<readonly ExperimentRun[]> {
  const policyRuns: { policy: string; summary: RunSummary }[] = [];
  for (const policy of COMPARED_POLICIES) {
    const summary = await runOnce(scenario, { policy, seed });
    report(formatExperimentTable.formatProgress(policy, seed, summary));
    policyRuns.push({ policy, summary });
  }
  const worstWorkspace = policyRuns[0]?.summary.worstWorkspace ?? '';
  const solo = await runOnce(scenario, { policy: 'fair', seed, onlyWorkspace: worstWorkspace });
  report(formatExperimentTable.formatProgress(`alone ${worstWorkspace}`, seed, solo));
  const soloSlowdown = solo.slowdowns[worstWorkspace] ?? NaN;
  return policyRuns.map(({ policy, summary }) => {
    const slowdown = summary.slowdowns[summary.worstWorkspace] ?? NaN;
    return { policy, seed, summary, worstAgainstAlone: slowdown / soloSlowdown };
  });
}

async function runOnce(scenario: Scenario, options: runScenario.RunOptions): Promise<RunSummary> {
  const record = await runScenario.runScenario(scenario, options);
  return summarize.summarize(scenario, runScenario.arrivalsOf(scenario, options), record);
}
