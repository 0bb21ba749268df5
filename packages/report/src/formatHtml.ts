import type { BurnReport, ObjectiveReport, WindowBurn } from './Types.js';
import * as formatDuration from './formatDuration.js';
import * as formatText from './formatText.js';
import * as plotSvg from './plotSvg.js';

const STYLE = `
:root { color-scheme: light dark; --line-0: #c2410c; --line-1: #1d6fb8; --line-2: #2f8a4c; --line-3: #7a4fb5; }
body { font: 15px/1.5 system-ui, sans-serif; max-width: 780px; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 0.2rem 0.8rem 0.2rem 0; border-bottom: 1px solid #8884; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
svg { width: 100%; height: auto; margin: 0.5rem 0 1.5rem; }
.grid { stroke: #8884; } .limit { stroke: currentColor; stroke-dasharray: 4 3; }
.axis, .legend { font-size: 11px; fill: currentColor; } .end { text-anchor: end; }
.line { fill: none; stroke-width: 1.6; }
.line.line-0 { stroke: var(--line-0); } .line.line-1 { stroke: var(--line-1); }
.line.line-2 { stroke: var(--line-2); } .line.line-3 { stroke: var(--line-3); }
.legend.line-0 { fill: var(--line-0); } .legend.line-1 { fill: var(--line-1); }
.legend.line-2 { fill: var(--line-2); } .legend.line-3 { fill: var(--line-3); }
.status { font-weight: 600; } .exhausted { color: #c2410c; } .burning { color: #b07a00; } .met { color: #2f8a4c; }
`;

const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

/** Formats the report as a self-contained HTML page. */
export function formatHtml(report: BurnReport): string {
  const title = `Service-level burn of ${escape(report.service)}`;
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8">',
    '<meta name="viewport" content="width=device-width, initial-scale=1">',
    `<title>${title}</title><style>${STYLE}</style></head><body>`,
    `<h1>${title}</h1>`,
    `<p>${new Date(report.from).toISOString()} to ${new Date(report.to).toISOString()}, `,
    `${report.vms.length} VMs, ${report.failedSamples} failed samples.</p>`,
    summaryTable(report.objectives),
    ...report.objectives.map((objective) => formatObjective(objective, report)),
    '</body></html>',
    '',
  ].join('\n');
}

function summaryTable(objectives: readonly ObjectiveReport[]): string {
  const rows = objectives.map(
    ({ name, status, budgetLeft }) =>
      `<tr><td>${escape(name)}</td>${statusCell(status)}${numberCell(formatText.formatBudget(budgetLeft))}</tr>`,
  );
  return table(['Objective', 'Status', 'Error budget left'], rows);
}

function formatObjective(objective: ObjectiveReport, report: BurnReport): string {
  return [
    `<h2>${escape(objective.name)}</h2>`,
    `<p>${escape(objective.description)}. The dashed line is a burn rate of 1.</p>`,
    plotSvg.plotSvg(objective.lines, report),
    table(['Window', 'Burn rate', 'Good', 'Total', 'Workspace'], objective.windows.map(windowRow)),
  ].join('\n');
}

function windowRow({ spanMs, burnRate, good, total, subject }: WindowBurn): string {
  const cells = [formatText.formatBurn(burnRate), String(good), String(total)].map(numberCell);
  const duration = formatDuration.formatDuration(spanMs);
  return `<tr><td>${duration}</td>${cells.join('')}<td>${escape(subject ?? '')}</td></tr>`;
}

function table(headings: readonly string[], rows: readonly string[]): string {
  const heading = headings.map((text) => `<th>${text}</th>`).join('');
  return `<table><tr>${heading}</tr>\n${rows.join('\n')}\n</table>`;
}

function statusCell(status: string): string {
  return `<td class="status ${status}">${status}</td>`;
}

function numberCell(text: string): string {
  return `<td class="number">${text}</td>`;
}

function escape(text: string): string {
  return text.replace(/[&<>"']/g, (character) => ENTITIES[character] ?? '');
}
