import * as trueMyth from 'true-myth';
import type { ConfigurationChange, ConfigurationState, GivenKey } from './Types.js';
import * as checkState from './checkState.js';

/** Maximum number of withdrawn keys that are kept; older ones are treated as unknown keys. */
const MAXIMUM_WITHDRAWN_KEYS = 20_000;

/** A new state, or one sentence for each reason why the change is not allowed. */
export type ChangeResult = trueMyth.Result<ConfigurationState, readonly string[]>;

/** Returns the configuration before the first edit. */
export function emptyState(): ConfigurationState {
  return {
    version: 0,
    routes: new Map(),
    pools: new Map(),
    workspaces: new Map(),
    keys: new Map(),
    withdrawn: new Set(),
  };
}

/** Applies a change to a state and checks the result. The version increases by one. */
export function applyChange(state: ConfigurationState, change: ConfigurationChange): ChangeResult {
  return computeChanged(state, change).andThen((next) => {
    const problems = checkState.checkState(next);
    if (problems.length > 0) return trueMyth.Result.err(problems);
    return trueMyth.Result.ok({ ...next, version: state.version + 1 });
  });
}

function computeChanged(state: ConfigurationState, change: ConfigurationChange): ChangeResult {
  switch (change.kind) {
    case 'putRoute':
      return trueMyth.Result.ok({ ...state, routes: withRow(state.routes, change.route) });
    case 'putPool':
      return trueMyth.Result.ok({ ...state, pools: withRow(state.pools, change.pool) });
    case 'putWorkspace':
      return trueMyth.Result.ok({
        ...state,
        workspaces: withRow(state.workspaces, change.workspace),
      });
    case 'removeRoute':
      return withoutRow('route', state.routes, change.name).map((routes) => ({
        ...state,
        routes,
      }));
    case 'removePool':
      return withoutRow('pool', state.pools, change.name).map((pools) => ({ ...state, pools }));
    case 'removeWorkspace':
      return withoutRow('workspace', state.workspaces, change.name).map((workspaces) => ({
        ...state,
        workspaces,
      }));
    case 'giveKey':
      return giveKey(state, change.key);
    case 'withdrawKey':
      return withdrawKey(state, change.digest);
    case 'replaceTables':
      return replaceTables(state, change.tables);
    default:
      return trueMyth.Result.err(['The kind of change is not known.']);
  }
}

interface Row {
  readonly name: string;
}

function withRow<Item extends Row>(
  rows: ReadonlyMap<string, Item>,
  row: Item,
): ReadonlyMap<string, Item> {
  return new Map(rows).set(row.name, row);
}

function withoutRow<Item extends Row>(
  table: string,
  rows: ReadonlyMap<string, Item>,
  name: string,
): trueMyth.Result<ReadonlyMap<string, Item>, readonly string[]> {
  const rest = new Map(rows);
  if (!rest.delete(name)) return trueMyth.Result.err([`There is no ${table} ${name}.`]);
  return trueMyth.Result.ok(rest);
}

function giveKey(state: ConfigurationState, key: GivenKey): ChangeResult {
  // A withdrawn key may have leaked or has been retired, so it can never be issued again.
  if (state.withdrawn.has(key.digest)) {
    return trueMyth.Result.err([`Key ${key.digest} has been withdrawn.`]);
  }
  if (state.keys.has(key.digest)) {
    return trueMyth.Result.err([`Key ${key.digest} has already been given.`]);
  }
  return trueMyth.Result.ok({ ...state, keys: new Map(state.keys).set(key.digest, key) });
}

function withdrawKey(state: ConfigurationState, digest: string): ChangeResult {
  const keys = new Map(state.keys);
  if (!keys.delete(digest)) return trueMyth.Result.err([`Key ${digest} is not in force.`]);
  const withdrawn = [...state.withdrawn, digest].slice(-MAXIMUM_WITHDRAWN_KEYS);
  return trueMyth.Result.ok({ ...state, keys, withdrawn: new Set(withdrawn) });
}

function replaceTables(
  state: ConfigurationState,
  tables: Extract<ConfigurationChange, { kind: 'replaceTables' }>['tables'],
): ChangeResult {
  const duplicates = [
    ...findDuplicateNames('route', tables.routes),
    ...findDuplicateNames('pool', tables.pools),
    ...findDuplicateNames('workspace', tables.workspaces),
  ];
  if (duplicates.length > 0) return trueMyth.Result.err(duplicates);
  return trueMyth.Result.ok({
    ...state,
    routes: byName(tables.routes),
    pools: byName(tables.pools),
    workspaces: byName(tables.workspaces),
  });
}

function findDuplicateNames(table: string, rows: readonly Row[]): readonly string[] {
  const seen = new Set<string>();
  return rows.flatMap((row) => {
    if (seen.has(row.name)) return [`There are two rows for ${table} ${row.name}.`];
    seen.add(row.name);
    return [];
  });
}

/** Indexes rows by their name. */
export function byName<Item extends Row>(rows: readonly Item[]): ReadonlyMap<string, Item> {
  return new Map(rows.map((row) => [row.name, row]));
}
