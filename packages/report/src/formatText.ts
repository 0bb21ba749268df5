import type { BurnReport, ObjectiveReport, WindowBurn } from './Types.js';
import * as formatDuration from './formatDuration.js';

const PERCENT = 100;

/** Formats the report as text for a terminal. */
export function formatText(report: BurnReport): string {
  const from = new Date(report.from).toISOString();
  const to = new Date(report.to).toISOString();
  const failed = report.failedSamples === 0 ? '' : `, ${report.failedSamples} samples failed`;
  return [
    `Service-level burn of ${report.service}`,
    `${from} to ${to}, ${report.vms.length} VMs${failed}`,
    ...report.objectives.flatMap(formatObjective),
    '',
  ].join('\n');
}

function formatObjective(objective: ObjectiveReport): readonly string[] {
  return [
    '',
    `${objective.name}: ${objective.status}`,
    `  ${objective.description}`,
    `  error budget left: ${formatBudget(objective.budgetLeft)} (${formatCount(objective.period)})`,
    ...objective.windows.map((window) => `  ${formatWindow(window)}`),
  ];
}

function formatWindow(window: WindowBurn): string {
  const duration = formatDuration.formatDuration(window.spanMs).padEnd(7);
  return `${duration} burn ${formatBurn(window.burnRate).padStart(6)}  ${formatCount(window)}`;
}

function formatCount({ good, total, subject }: WindowBurn): string {
  const name = subject === undefined ? '' : `, workspace ${subject}`;
  return `${good} of ${total} good${name}`;
}

/** Formats the remaining share of an error budget as a percentage. */
export function formatBudget(budgetLeft: number | undefined): string {
  return budgetLeft === undefined ? 'no data' : `${(budgetLeft * PERCENT).toFixed(1)}%`;
}

/** Formats a burn rate. */
export function formatBurn(burnRate: number | undefined): string {
  return burnRate === undefined ? 'none' : burnRate.toFixed(2);
}
