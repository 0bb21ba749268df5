/** The fleets that are measured. */
import * as testKit from '@limpettack/test-kit';

export const FAILURE_DOMAINS = ['norte', 'sur', 'cumbaya'];
export const { MODEL_ROUTE: ROUTE, WORKSPACE, KEY } = testKit.FLEET_NAMES;

const SHARDS_PER_VM = 2;
const RATE_PER_SECOND = 100_000;
const START_TIMEOUT_MS = 60_000;
const START_ATTEMPTS = 5;
const STARTS_AT_ONCE = 4;

/** Tables with so many rows for the one engine, and so many workspaces. */
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

/** Waits until all VMs are ready and each shard has an owner and a standby among them. */
export async function untilPaired(fleet) {
  await fleet.untilReady(fleet.vms, START_TIMEOUT_MS);
  await testKit.waitFor(
    async () => {
      const { shards } = await fleet.vm(0).describeFleet();
      return shards.every((shard) => shard?.standby !== undefined);
    },
    { what: 'a standby of each shard', timeoutMs: START_TIMEOUT_MS, intervalMs: 100 },
  );
}

/** A port that was found free may be taken before the VM listens there; then all start again. */
async function startProcesses(options, attempts) {
  try {
    return await testKit.startFleet(options);
  } catch (error) {
    if (attempts === 1 || !String(error).includes('EADDRINUSE')) throw error;
    return startProcesses(options, attempts - 1);
  }
}

/** Starts a fleet and waits until each shard has a standby. */
export async function startFleet(options) {
  const fleet = await startProcesses(
    {
      failureDomains: FAILURE_DOMAINS,
      engines: 1,
      services: 0,
      startsAtOnce: STARTS_AT_ONCE,
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
  await untilPaired(fleet);
  return fleet;
}

/** A caller of the one workspace. */
export function createCaller() {
  return new testKit.Caller(KEY, ROUTE);
}
