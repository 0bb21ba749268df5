import type { Series } from './Types.js';

const LINE_PATTERN = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})?\s+(\S+)/;

const LABEL_PATTERN = /([a-zA-Z_]\w*)="((?:[^"\\]|\\.)*)"/g;

const ESCAPE_PATTERN = /\\(.)/g;

/** Parses the Prometheus text format. Lines that are not samples are ignored. */
export function parseMetrics(text: string): readonly Series[] {
  return text.split('\n').flatMap((line) => {
    const match = LINE_PATTERN.exec(line);
    if (!match) return [];
    const [, name = '', labels = '', number = ''] = match;
    const value = parseNumber(number);
    return Number.isNaN(value) ? [] : [{ name, labels: parseLabels(labels), value }];
  });
}

function parseLabels(text: string): Record<string, string> {
  return Object.fromEntries(
    [...text.matchAll(LABEL_PATTERN)].map(([, name = '', value = '']) => [name, unescape(value)]),
  );
}

function unescape(text: string): string {
  return text.replace(ESCAPE_PATTERN, (_, character: string) =>
    character === 'n' ? '\n' : character,
  );
}

/** Parses a number of the Prometheus text format, such as `+Inf`. */
export function parseNumber(text: string): number {
  if (text === '+Inf') return Number.POSITIVE_INFINITY;
  if (text === '-Inf') return Number.NEGATIVE_INFINITY;
  return Number(text);
}
