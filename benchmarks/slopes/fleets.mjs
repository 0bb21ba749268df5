/** Starts the fleets that are measured. */
import * as testKit from '@limpettack/test-kit';

export const FAILURE_DOMAINS = ['norte', 'sur', 'cumbaya'];
export const { MODEL_ROUTE: ROUTE, WORKSPACE, KEY } = testKit.FLEET_NAMES;

const SHARDS_PER_VM = 2;
const RATE_PER_SECOND = 100_000;
const START_TIMEOUT_MS = 60_000;
const START_ATTEMPTS = 5;
const CONCURRENT_STARTS = 4;

/** Returns tables that list the one engine `engineRows` times and have `workspaces` workspaces. */
export function createTables(targets, engineRows, workspaces) {
  const tables = testKit.defaultTables(targets);
  const [engine] = tables.pools[0].targets;
  const rows = Array.from({ length: engineRows }, (_, index) => ({
    ...engine,
    name: index === 0 ? engine.name : `row-${index}`,
  }));
  const others = Array.from({ length: workspaces - 1 }, (_, index) => ({
    name: `workspace-${index}`,
    ratePerSecond: RATE_PER_SECOND,
    burst: RATE_PER_SECOND,
  }));
  const first = { name: WORKSPACE, ratePerSecond: RATE_PER_SECOND, burst: RATE_PER_SECOND };
  return {
    ...tables,
    routes: tables.routes.slice(0, 1),
    pools: [{ ...tables.pools[0], targets: rows }],
    workspaces: [first, ...others],
  };
}

/** Waits until all VMs are ready and every shard has an owner and a standby. */
export async function waitForStandbys(fleet) {
  await fleet.untilReady(fleet.vms, START_TIMEOUT_MS);
  await testKit.waitFor(
    async () => {
      const { shards } = await fleet.vm(0).describeFleet();
      return shards.every((shard) => shard?.standby !== undefined);
    },
    { what: 'a standby of each shard', timeoutMs: START_TIMEOUT_MS, intervalMs: 100 },
  );
}

/** Starts all processes, and again if a free port was taken before its VM listened on it. */
async function startProcesses(options, remainingAttempts) {
  try {
    return await testKit.startFleet(options);
  } catch (error) {
    if (remainingAttempts === 1 || !String(error).includes('EADDRINUSE')) throw error;
    return startProcesses(options, remainingAttempts - 1);
  }
}

/** Starts a fleet and waits until every shard has a standby. */
export async function startFleet(options) {
  const fleet = await startProcesses(
    {
      failureDomains: FAILURE_DOMAINS,
      engines: 1,
      services: 0,
      startsAtOnce: CONCURRENT_STARTS,
      tables: (targets) => createTables(targets, 1, 1),
      ...options,
      settings: {
        shutdown: { drainDelayMs: 100 },
        ...options.settings,
        journal: { shardCount: SHARDS_PER_VM * options.vms, ...options.settings?.journal },
      },
    },
    START_ATTEMPTS,
  );
  await waitForStandbys(fleet);
  return fleet;
}

/** Returns a caller that uses the key of the first workspace. */
export function createCaller() {
  return new testKit.Caller(KEY, ROUTE);
}
