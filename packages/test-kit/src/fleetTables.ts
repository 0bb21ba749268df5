import * as configuration from '@limpettack/configuration';
import type * as zod from 'zod';

/** A target of a test fleet, as the tables name it. */
export interface FleetTargetRow {
  readonly name: string;
  readonly kind: 'engine' | 'service';
  readonly url: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly checksFencing: boolean;
}

/** The tables as operators write them, with defaults left out. */
export type TablesInput = zod.input<typeof configuration.TABLES>;

/** Names of the default tables of a test fleet. */
export const FLEET_NAMES = {
  MODEL_ROUTE: 'agents',
  /** A route whose calls may be run again. */
  SERVICE_ROUTE: 'quotes',
  /** A route whose calls must not be run again. */
  ACTION_ROUTE: 'actions',
  ENGINE_POOL: 'engines',
  SERVICE_POOL: 'services',
  WORKSPACE: 'norte',
  KEY: 'key-of-norte',
} as const;

const DEFAULT_RATE_PER_SECOND = 1_000;
const DEFAULT_BURST = 1_000;

/** Tables with one pool of engines, one of services, a route of each kind and one workspace. */
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
        targets: rowsOf(targets, 'engine'),
      },
      {
        name: names.SERVICE_POOL,
        kind: CALL_KINDS.SERVICE,
        outcomeQuery: '/outcomes/{key}',
        targets: rowsOf(targets, 'service'),
      },
    ],
    workspaces: [
      { name: names.WORKSPACE, ratePerSecond: DEFAULT_RATE_PER_SECOND, burst: DEFAULT_BURST },
    ],
  };
}

function rowsOf(
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
