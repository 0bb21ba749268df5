import * as configuration from '@limpettack/configuration';
import type * as zod from 'zod';

/** A target of a test fleet, as listed in the table of pools. */
export interface FleetTargetRow {
  readonly name: string;
  readonly kind: 'engine' | 'service';
  readonly url: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly checksFencing: boolean;
}

/** The tables as operators write them, before defaults are applied. */
export type TablesInput = zod.input<typeof configuration.TABLES>;

/** Names of the default tables of a test fleet. */
export const FLEET_NAMES = {
  MODEL_ROUTE: 'agents',
  /** A route whose calls are repeatable. */
  SERVICE_ROUTE: 'quotes',
  /** A route whose calls must run at most once. */
  ACTION_ROUTE: 'actions',
  ENGINE_POOL: 'engines',
  SERVICE_POOL: 'services',
  WORKSPACE: 'norte',
  KEY: 'key-of-norte',
} as const;

const DEFAULT_RATE_PER_SECOND = 1_000;
const DEFAULT_BURST = 1_000;

/**
 * Returns tables with a pool of engines, a pool of services, a model route, a repeatable and a
 * non-repeatable service route, and a workspace.
 */
export function defaultTables(targets: readonly FleetTargetRow[]): TablesInput {
  const { CALL_KINDS } = configuration;
  const names = FLEET_NAMES;
  return {
    routes: [
      { name: names.MODEL_ROUTE, kind: CALL_KINDS.MODEL, pool: names.ENGINE_POOL },
      { name: names.SERVICE_ROUTE, kind: CALL_KINDS.SERVICE, pool: names.SERVICE_POOL },
      {
        name: names.ACTION_ROUTE,
        kind: CALL_KINDS.SERVICE,
        pool: names.SERVICE_POOL,
        repeatable: false,
      },
    ],
    pools: [
      {
        name: names.ENGINE_POOL,
        kind: CALL_KINDS.MODEL,
        model: 'stand-in',
        targets: targetsOfKind(targets, 'engine'),
      },
      {
        name: names.SERVICE_POOL,
        kind: CALL_KINDS.SERVICE,
        outcomeQuery: '/outcomes/{key}',
        targets: targetsOfKind(targets, 'service'),
      },
    ],
    workspaces: [
      { name: names.WORKSPACE, ratePerSecond: DEFAULT_RATE_PER_SECOND, burst: DEFAULT_BURST },
    ],
  };
}

function targetsOfKind(
  targets: readonly FleetTargetRow[],
  kind: FleetTargetRow['kind'],
): TablesInput['pools'][number]['targets'] {
  return targets
    .filter((target) => target.kind === kind)
    .map(({ name, url, failureDomain, slots, checksFencing }) => ({
      name,
      url,
      failureDomain,
      slots,
      checksFencing,
    }));
}
