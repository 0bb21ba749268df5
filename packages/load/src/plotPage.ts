import type { RunRecord, RunSummary } from './Types.js';
import type { ExperimentRun } from './runExperiment.js';

const WIDTH = 720;
const BAR_HEIGHT = 18;
const LABEL_WIDTH = 240;
const PLOT_HEIGHT = 240;
const DOT_RADIUS = 2.5;
const STYLE =
  'body{font:14px sans-serif;margin:2em}svg{display:block;margin-bottom:2em}' +
  'pre{background:#f4f4f4;padding:1em}';

interface Bar {
  readonly label: string;
  readonly value: number;
}

/** HTML page of a run: arrival time and latency of its programs, and its summary. */
export function runPage(name: string, summary: RunSummary, record: RunRecord): string {
  const slowdowns = Object.entries(summary.slowdowns).map(([label, value]) => ({ label, value }));
  return page(name, [
    plot('Latency of programs (ms) by their arrival', scatterPlot(record)),
    barChart('Latency over ideal latency, by workspace', slowdowns),
    `<pre>${escapeHtml(JSON.stringify(summary, undefined, 2))}</pre>`,
  ]);
}

/** HTML page of an experiment: the results of each policy, averaged over the seeds. */
export function experimentPage(name: string, runs: readonly ExperimentRun[]): string {
  const policies = [...new Set(runs.map(({ policy }) => policy))];
  const mean = (value: (run: ExperimentRun) => number): readonly Bar[] =>
    policies.map((label) => {
      const policyRuns = runs.filter(({ policy }) => policy === label);
      return {
        label,
        value: policyRuns.reduce((sum, run) => sum + value(run), 0) / policyRuns.length,
      };
    });
  return page(name, [
    barChart(
      'Median program latency (ms)',
      mean(({ summary }) => summary.medianMs),
    ),
    barChart(
      '95th percentile program latency (ms)',
      mean(({ summary }) => summary.p95Ms),
    ),
    barChart(
      'Worst-served workspace against alone',
      mean((run) => run.worstAgainstAlone),
    ),
    barChart(
      'Prefill tokens computed again',
      mean(({ summary }) => summary.wastedTokens),
    ),
  ]);
}

function page(title: string, sections: readonly string[]): string {
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>${escapeHtml(title)}</title><style>${STYLE}</style></head><body>`,
    `<h1>${escapeHtml(title)}</h1>`,
    ...sections,
    '</body></html>\n',
  ].join('\n');
}

function barChart(title: string, items: readonly Bar[]): string {
  const largest = Math.max(...items.map(({ value }) => value), Number.MIN_VALUE);
  const shapes = items.map(({ label, value }, index) => {
    const y = index * BAR_HEIGHT;
    const width = (value / largest) * (WIDTH - LABEL_WIDTH * 1.5);
    return (
      `<text x="0" y="${y + 13}">${escapeHtml(label)}</text>` +
      `<rect x="${LABEL_WIDTH}" y="${y + 2}" width="${width.toFixed(1)}" height="14" fill="#47a"/>` +
      `<text x="${LABEL_WIDTH + width + 6}" y="${y + 13}">${value.toFixed(2)}</text>`
    );
  });
  return plot(title, { height: items.length * BAR_HEIGHT, body: shapes.join('') });
}

function scatterPlot(record: RunRecord): { readonly height: number; readonly body: string } {
  const lastMs = Math.max(1, ...record.programs.map(({ arrival }) => arrival.atMs));
  const longestMs = Math.max(1, ...record.programs.map(({ latencyMs }) => latencyMs));
  const dots = record.programs.map(({ arrival, latencyMs, state }) => {
    const x = (arrival.atMs / lastMs) * WIDTH;
    const y = PLOT_HEIGHT - (latencyMs / longestMs) * PLOT_HEIGHT;
    const colour = state === 'completed' ? '#47a' : '#c33';
    const title = `${arrival.id} ${state} ${Math.round(latencyMs)} ms`;
    return (
      `<circle cx="${x.toFixed(1)}" cy="${y.toFixed(1)}" r="${DOT_RADIUS}" fill="${colour}">` +
      `<title>${escapeHtml(title)}</title></circle>`
    );
  });
  const top = `<text x="0" y="12">${Math.round(longestMs)} ms</text>`;
  return { height: PLOT_HEIGHT, body: top + dots.join('') };
}

function plot(title: string, shape: { readonly height: number; readonly body: string }): string {
  return (
    `<h2>${escapeHtml(title)}</h2>` +
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${shape.height + 4}">` +
    `${shape.body}</svg>`
  );
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}
