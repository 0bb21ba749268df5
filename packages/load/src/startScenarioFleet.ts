import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';

import type { Scenario } from './scenarios.js';

const ENGINE_POOL = 'engines';
const SERVICE_POOL = 'services';

/** API key of a workspace in a run. */
export function workspaceKeyOf(workspace: string): string {
  return `key-of-${workspace}`;
}

/** Starts the fleet of a scenario with a scheduling policy. */
export function startScenarioFleet(scenario: Scenario, policy: string): Promise<testKit.Fleet> {
  const { fleet, workspaces } = scenario;
  return testKit.startFleet({
    vms: fleet.vms,
    failureDomains: fleet.failureDomains,
    engines: fleet.engines,
    services: fleet.services,
    engineOptions: fleet.engineOptions,
    serviceOptions: fleet.serviceOptions,
    settings: {
      journal: { shardCount: fleet.shardCount, appendsPerSecond: fleet.appendsPerSecond },
      scheduling: { policy },
    },
    tables: (targets) => createTables(scenario, targets),
    keys: Object.fromEntries(workspaces.map(({ name }) => [name, [workspaceKeyOf(name)]])),
  });
}

function createTables(
  scenario: Scenario,
  targets: readonly testKit.FleetTargetRow[],
): testKit.TablesInput {
  const { MODEL, SERVICE } = configuration.CALL_KINDS;
  const { models, orders, reads } = scenario.routes;
  const rows = (wanted: testKit.FleetTargetRow['kind']) =>
    targets.filter(({ kind }) => kind === wanted).map(({ kind: _kind, ...row }) => row);
  return {
    routes: [
      { name: models, kind: MODEL, pool: ENGINE_POOL },
      { name: reads, kind: SERVICE, pool: SERVICE_POOL },
      { name: orders, kind: SERVICE, pool: SERVICE_POOL, repeatable: false },
    ],
    pools: [
      { name: ENGINE_POOL, kind: MODEL, model: 'stand-in', targets: rows('engine') },
      {
        name: SERVICE_POOL,
        kind: SERVICE,
        outcomeQuery: '/outcomes/{key}',
        targets: rows('service'),
      },
    ],
    workspaces: scenario.workspaces.map(({ name, ratePerSecond, burst }) => ({
      name,
      ratePerSecond,
      burst,
    })),
  };
}
