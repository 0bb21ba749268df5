import type { RunSummary } from './Types.js';
import type { ExperimentRun } from './runExperiment.js';
import type { Scenario } from './scenarios.js';

const BASELINE = 'round-robin-fifo';
const POLICY_WIDTH = 30;
const COLUMN_WIDTH = 22;
const PERCENT = 100;

interface Column {
  readonly title: string;
  readonly digits: number;
  readonly value: (run: ExperimentRun, baseline: ExperimentRun) => number;
}

const COLUMNS: readonly Column[] = [
  { title: 'median ms', digits: 0, value: ({ summary }) => summary.medianMs },
  { title: 'p95 ms', digits: 0, value: ({ summary }) => summary.p95Ms },
  {
    title: 'p95 / rr',
    digits: 2,
    value: (run, baseline) => run.summary.p95Ms / baseline.summary.p95Ms,
  },
  { title: 'worst / alone', digits: 2, value: (run) => run.worstAgainstAlone },
  { title: 'wasted tokens', digits: 0, value: ({ summary }) => summary.wastedTokens },
  {
    title: 'wasted / rr',
    digits: 2,
    value: (run, baseline) => run.summary.wastedTokens / baseline.summary.wastedTokens,
  },
  {
    title: 'refused in rate, %',
    digits: 2,
    value: ({ summary }) => (summary.refusedWithinRate / summary.withinRate) * PERCENT,
  },
  { title: 'failed programs', digits: 0, value: ({ summary }) => summary.states.failed },
];

/** Formats the results of an experiment as a table: median, minimum and maximum over the seeds. */
export function formatExperimentTable(scenario: Scenario, runs: readonly ExperimentRun[]): string {
  const policies = [...new Set(runs.map(({ policy }) => policy))];
  const seeds = new Set(runs.map(({ seed }) => seed)).size;
  const machineLoads = runs.map(({ summary }) => summary.machineLoad);
  const loads = runs.map(({ summary }) => summary.offeredLoad);
  const breaches = runs.flatMap(({ summary }) => summary.breaches);
  const head = [
    'policy'.padEnd(POLICY_WIDTH),
    ...COLUMNS.map(({ title }) => padColumn(title)),
  ].join('');
  const rows = policies.map((policy) => formatRow(policy, runs));
  return [
    `${scenario.name}: ${seeds} seeds, ${scenario.durationMs} ms of arrivals a run, ` +
      `offered load ${formatSpread(loads, 2)} of the engines`,
    `load of the machine for each core ${formatSpread(machineLoads, 2)}; above 1 the runs disturb each other`,
    'Each figure is the median over the seeds (least to most).',
    '',
    head,
    ...rows,
    '',
    `Breaches of promises over all runs: ${breaches.length}`,
    ...breaches.map(({ detail, promise }) => `  ${promise}: ${detail}`),
    ...runs.flatMap(({ policy, seed, summary }) =>
      summary.failures.map((reason) => `Failed program, seed ${seed}, ${policy}: ${reason}`),
    ),
    '',
  ].join('\n');
}

/** Formats one line with the results of a run. */
export function formatProgress(policy: string, seed: number, summary: RunSummary): string {
  const { medianMs, p95Ms, states, wastedTokens } = summary;
  const slowdown = summary.slowdowns[summary.worstWorkspace] ?? NaN;
  const parts = [
    `seed ${seed} ${policy}: median ${medianMs} ms, p95 ${p95Ms} ms, wasted ${wastedTokens}`,
    `worst ${summary.worstWorkspace} ${slowdown.toFixed(2)}, ${JSON.stringify(states)}`,
    `${JSON.stringify(summary.refusals)} load ${summary.offeredLoad.toFixed(2)}`,
    ...summary.failures,
  ];
  return parts.join('; ');
}

function formatRow(policy: string, runs: readonly ExperimentRun[]): string {
  const cells = COLUMNS.map(({ digits, value }) => {
    const values = runs
      .filter((run) => run.policy === policy)
      .map((run) => value(run, baselineOf(run, runs)));
    return padColumn(formatSpread(values, digits));
  });
  return [policy.padEnd(POLICY_WIDTH), ...cells].join('');
}

/** The baseline run with the same seed; the run itself when there is none. */
function baselineOf(run: ExperimentRun, runs: readonly ExperimentRun[]): ExperimentRun {
  return runs.find(({ policy, seed }) => policy === BASELINE && seed === run.seed) ?? run;
}

function formatSpread(values: readonly number[], digits: number): string {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN;
  const [minimum = NaN] = sorted;
  const maximum = sorted.at(-1) ?? NaN;
  return `${middle.toFixed(digits)} (${minimum.toFixed(digits)}-${maximum.toFixed(digits)})`;
}

function padColumn(text: string): string {
  return text.padStart(COLUMN_WIDTH + 2);
}
