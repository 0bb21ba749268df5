import * as util from 'node:util';
import type * as configuration from '@limpettack/configuration';

const TABLE_NAMES = ['routes', 'pools', 'workspaces'] as const;

/** A row that differs between two configurations. */
export interface RowDifference {
  readonly table: (typeof TABLE_NAMES)[number];
  readonly name: string;
  /** Absent when the row is new. */
  readonly before?: object | undefined;
  /** Absent when the row is removed. */
  readonly after?: object | undefined;
}

/** Compares tables row by row. */
export function diffTables(
  before: configuration.Tables,
  after: configuration.Tables,
): readonly RowDifference[] {
  return TABLE_NAMES.flatMap((table) => {
    const oldRows = rowsByName(before[table]);
    const newRows = rowsByName(after[table]);
    const names = new Set([...oldRows.keys(), ...newRows.keys()]);
    return [...names]
      .map((name) => ({ table, name, before: oldRows.get(name), after: newRows.get(name) }))
      .filter((row) => !util.isDeepStrictEqual(row.before, row.after));
  });
}

function rowsByName(rows: readonly { readonly name: string }[]): ReadonlyMap<string, object> {
  return new Map(rows.map((row) => [row.name, row]));
}

/** Formats differences as lines that start with + (new), - (removed) or ~ (changed). */
export function formatDifferences(differences: readonly RowDifference[]): string {
  if (differences.length === 0) return 'There is no difference.';
  return differences.flatMap(formatDifference).join('\n');
}

function formatDifference(row: RowDifference): readonly string[] {
  const name = `${row.table} ${row.name}`;
  if (row.before === undefined) return [`+ ${name}`];
  if (row.after === undefined) return [`- ${name}`];
  return [`~ ${name}`, ...formatFields(row.before, row.after)];
}

function formatFields(before: object, after: object): readonly string[] {
  const oldFields = new Map<string, unknown>(Object.entries(before));
  const newFields = new Map<string, unknown>(Object.entries(after));
  return [...new Set([...oldFields.keys(), ...newFields.keys()])]
    .filter((name) => !util.isDeepStrictEqual(oldFields.get(name), newFields.get(name)))
    .map((name) => `    ${name}: ${show(oldFields.get(name))} -> ${show(newFields.get(name))}`);
}

function show(value: unknown): string {
  return value === undefined ? 'none' : JSON.stringify(value);
}
