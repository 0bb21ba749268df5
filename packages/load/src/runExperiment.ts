import type { RunSummary } from './Types.js';
import * as experimentTable from './experimentTable.js';
import * as running from './runScenario.js';
import type { Scenario } from './scenarios.js';
import * as summaries from './summarize.js';

/** The policies that are compared, in their order in each round; ours comes first. */
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
  /** Slowdown of the worst-served workspace over that of a workspace that runs alone. */
  readonly worstAgainstAlone: number;
}

/** The runs of an experiment and its table. */
export interface ExperimentResult {
  readonly runs: readonly ExperimentRun[];
  readonly text: string;
  readonly breaches: number;
}

/** Runs all policies in turn for each seed, and the worst-served workspace of ours alone. */
export async function runExperiment(
  scenario: Scenario,
  seeds: number,
  report: (line: string) => void,
): Promise<ExperimentResult> {
  const runs: ExperimentRun[] = [];
  for (let seed = 1; seed <= seeds; seed += 1)
    runs.push(...(await runRound(scenario, seed, report)));
  const text = experimentTable.experimentTable(scenario, runs);
  const breaches = runs.reduce((sum, run) => sum + run.summary.breaches.length, 0);
  return { runs, text, breaches };
}

async function runRound(
  scenario: Scenario,
  seed: number,
  report: (line: string) => void,
): Promise<readonly ExperimentRun[]> {
  const rounds: { policy: string; summary: RunSummary }[] = [];
  for (const policy of COMPARED_POLICIES) {
    const summary = await runOnce(scenario, { policy, seed });
    report(experimentTable.progressLine(policy, seed, summary));
    rounds.push({ policy, summary });
  }
  const worst = rounds[0]?.summary.worstWorkspace ?? '';
  const alone = await runOnce(scenario, { policy: 'fair', seed, onlyWorkspace: worst });
  report(experimentTable.progressLine(`alone ${worst}`, seed, alone));
  const aloneSlowdown = alone.slowdowns[worst] ?? NaN;
  return rounds.map(({ policy, summary }) => {
    const slowdown = summary.slowdowns[summary.worstWorkspace] ?? NaN;
    return { policy, seed, summary, worstAgainstAlone: slowdown / aloneSlowdown };
  });
}

async function runOnce(scenario: Scenario, options: running.RunOptions): Promise<RunSummary> {
  const record = await running.runScenario(scenario, options);
  return summaries.summarize(scenario, running.arrivalsOf(scenario, options), record);
}
