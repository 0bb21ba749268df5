import type { ConfigurationState, Pool, Route } from './Types.js';

/** Maximum number of rows of each table. */
export const MAXIMUM_ROWS = {
  ROUTES: 10_000,
  POOLS: 1_000,
  TARGETS: 10_000,
  WORKSPACES: 10_000,
  KEYS: 50_000,
} as const;

/** Checks table sizes and references between tables. Returns one sentence for each problem. */
export function checkState(state: ConfigurationState): readonly string[] {
  return [
    ...checkSizes(state),
    ...[...state.routes.values()].flatMap((route) => checkRoute(route, state)),
    ...checkTargets([...state.pools.values()]),
    ...checkKeys(state),
  ];
}

function checkSizes(state: ConfigurationState): readonly string[] {
  const targetCount = [...state.pools.values()].reduce((sum, pool) => sum + pool.targets.length, 0);
  return [
    ...checkSize('routes', state.routes.size, MAXIMUM_ROWS.ROUTES),
    ...checkSize('pools', state.pools.size, MAXIMUM_ROWS.POOLS),
    ...checkSize('targets', targetCount, MAXIMUM_ROWS.TARGETS),
    ...checkSize('workspaces', state.workspaces.size, MAXIMUM_ROWS.WORKSPACES),
    ...checkSize('keys', state.keys.size, MAXIMUM_ROWS.KEYS),
  ];
}

function checkSize(table: string, size: number, maximum: number): readonly string[] {
  return size > maximum ? [`There are ${size} ${table}; at most ${maximum} are allowed.`] : [];
}

function checkRoute(route: Route, state: ConfigurationState): readonly string[] {
  const problems: string[] = [];
  const pool = state.pools.get(route.pool);
  if (!pool) {
    problems.push(`Route ${route.name} names pool ${route.pool}, which does not exist.`);
  } else if (pool.kind !== route.kind) {
    problems.push(
      `Route ${route.name} is of kind ${route.kind}, its pool ${pool.name} of kind ${pool.kind}.`,
    );
  }
  if (route.kind === 'model' && !route.repeatable) {
    problems.push(`Route ${route.name} is a model route and cannot be marked not repeatable.`);
  }
  (route.workspaces ?? [])
    .filter((workspace) => !state.workspaces.has(workspace))
    .forEach((workspace) => {
      problems.push(`Route ${route.name} names workspace ${workspace}, which does not exist.`);
    });
  return problems;
}

function checkTargets(pools: readonly Pool[]): readonly string[] {
  const poolByTarget = new Map<string, string>();
  const problems: string[] = [];
  pools.forEach((pool) => {
    pool.targets.forEach((target) => {
      const other = poolByTarget.get(target.name);
      // Health, calls in flight and cache are tracked by target name only, so it must be unique.
      if (other !== undefined) {
        problems.push(`Target ${target.name} stands twice: in pools ${other} and ${pool.name}.`);
      }
      poolByTarget.set(target.name, pool.name);
    });
  });
  return problems;
}

function checkKeys(state: ConfigurationState): readonly string[] {
  return [...state.keys.values()]
    .filter((key) => !state.workspaces.has(key.workspace))
    .map((key) => `Key ${key.digest} is of workspace ${key.workspace}, which does not exist.`);
}
