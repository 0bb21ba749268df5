import type { BurnLine, BurnReport } from './Types.js';
import * as formatDuration from './formatDuration.js';

const WIDTH = 720;
const HEIGHT = 200;
const MARGIN = { left: 44, right: 12, top: 12, bottom: 24 } as const;

/** Maximum number of lines in a plot. */
const MAXIMUM_LINES = 4;

/** Minimum burn rate at the top of the plot, so that the limit of 1 is always visible. */
const MINIMUM_TOP_RATE = 2;

const GRID_STEPS = 4;

interface Scale {
  readonly x: (at: number) => number;
  readonly y: (burnRate: number) => number;
  readonly topRate: number;
}

/** Draws the burn rates of an objective over time. The page provides the styles of the classes. */
export function plotSvg(
  lines: readonly BurnLine[],
  timeRange: Pick<BurnReport, 'from' | 'to'>,
): string {
  const plottedLines = lines.slice(0, MAXIMUM_LINES);
  const scale = createScale(plottedLines, timeRange);
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="Burn rate over time">`,
    ...gridLines(scale),
    horizontalLine(scale.y(1), 'limit'),
    ...plottedLines.map((line, index) => polyline(line, index, scale)),
    ...plottedLines.map((line, index) => legend(line, index)),
    ...timeLabels(timeRange),
    '</svg>',
  ].join('\n');
}

function createScale(
  lines: readonly BurnLine[],
  { from, to }: { from: number; to: number },
): Scale {
  const rates = lines.flatMap((line) => line.points.map(({ burnRate }) => burnRate));
  const topRate = rates.reduce((largest, rate) => Math.max(largest, rate), MINIMUM_TOP_RATE);
  const width = WIDTH - MARGIN.left - MARGIN.right;
  const height = HEIGHT - MARGIN.top - MARGIN.bottom;
  return {
    topRate,
    x: (at) => MARGIN.left + (width * (at - from)) / Math.max(to - from, 1),
    y: (burnRate) => MARGIN.top + height * (1 - burnRate / topRate),
  };
}

function gridLines(scale: Scale): readonly string[] {
  return Array.from({ length: GRID_STEPS + 1 }, (_, step) => {
    const burnRate = (scale.topRate * step) / GRID_STEPS;
    const y = scale.y(burnRate);
    const label = `<text x="${MARGIN.left - 6}" y="${y + 4}" class="axis end">${burnRate.toFixed(1)}</text>`;
    return `${horizontalLine(y, 'grid')}\n${label}`;
  });
}

function horizontalLine(y: number, name: string): string {
  return `<line x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${y}" y2="${y}" class="${name}"/>`;
}

function polyline(line: BurnLine, index: number, scale: Scale): string {
  const points = line.points
    .map(({ at, burnRate }) => `${scale.x(at).toFixed(1)},${scale.y(burnRate).toFixed(1)}`)
    .join(' ');
  return `<polyline points="${points}" class="line line-${index}"/>`;
}

function legend(line: BurnLine, index: number): string {
  const x = MARGIN.left + 8 + index * 80;
  const y = MARGIN.top + 12;
  const duration = formatDuration.formatDuration(line.spanMs);
  return `<text x="${x}" y="${y}" class="legend line-${index}">${duration}</text>`;
}

function timeLabels({ from, to }: { from: number; to: number }): readonly string[] {
  const y = HEIGHT - 8;
  const start = new Date(from).toISOString();
  const end = new Date(to).toISOString();
  return [
    `<text x="${MARGIN.left}" y="${y}" class="axis">${start}</text>`,
    `<text x="${WIDTH - MARGIN.right}" y="${y}" class="axis end">${end}</text>`,
  ];
}
