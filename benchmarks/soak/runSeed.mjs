import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as checks from './checks.mjs';
import * as createFaults from './createFaults.mjs';
import * as createRandom from './createRandom.mjs';
import * as loads from './loads.mjs';
import * as schedule from './runSchedule.mjs';
import * as verdictsModule from './Verdicts.mjs';

const { PROMISES } = verdictsModule;
const LIMITS = { ratePerSecond: 20, burst: 10 };
const KEYS = { norte: 'key-of-norte', limited: 'key-of-limited' };
const PROGRAM_LANES = 6;
const SAMPLE_INTERVAL_MS = 100;
const END_TIMEOUT_MS = 20_000;
/** Time for which the load continues after the last fault has ended. */
const CALM_MS = 2_000;

const time = new clock.SystemClock();

/** Runs a fleet under load and faults that a seed determines, and checks the promises. */
export async function runSeed(seed, durationMs, verdicts) {
  const fleet = await startFleet();
  try {
    await waitForStandbys(fleet);
    const load = createLoad(seed, fleet, verdicts);
    const sampling = sampleVersions(load, fleet);
    const running = startLoads(load);
    await runFaults(load, fleet, durationMs);
    load.deadline = time.now() + CALM_MS;
    await running;
    await fleet.untilReady().catch((error) => {
      verdicts.check(PROMISES.BOUNDED_TIME, false, error.message.slice(0, 500));
    });
    load.isSampling = false;
    await sampling;
    await endPrograms(load);
    await checks.checkAll(load, fleet, LIMITS);
    return load;
  } finally {
    await fleet.dispose();
  }
}

function startFleet() {
  return testKit.startFleet({
    vms: 4,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco', 'quito-sur'],
    engines: 2,
    services: 1,
    engineOptions: { 'decode-ms-per-token': 8 },
    serviceOptions: { 'service-time-ms': 30 },
    environment: { ROARR_LOG: 'true', NODE_OPTIONS: '--trace-warnings' },
    proxies: { peers: true, platform: true, targets: true },
    settings: { journal: { shardCount: 8 }, shutdown: { drainDelayMs: 300 } },
    tables: (targets) => ({
      ...testKit.defaultTables(targets),
      workspaces: [
        { name: 'norte', ratePerSecond: 1_000, burst: 1_000 },
        { name: 'limited', ...LIMITS },
      ],
    }),
    keys: { norte: [KEYS.norte], limited: [KEYS.limited] },
  });
}

async function waitForStandbys(fleet) {
  await testKit.waitFor(
    async () => {
      const views = await Promise.all(fleet.vms.map((vm) => vm.describeFleet()));
      return views.every((view) => view.shards.every((shard) => shard?.standby !== undefined));
    },
    { what: 'a standby of every shard', timeoutMs: 20_000, intervalMs: SAMPLE_INTERVAL_MS },
  );
}

function createLoad(seed, fleet, verdicts) {
  const random = createRandom.createRandom(seed, 100);
  const startedAt = time.now();
  return {
    seed,
    verdicts,
    caller: new testKit.Caller(KEYS.norte, testKit.FLEET_NAMES.MODEL_ROUTE),
    limitedKey: KEYS.limited,
    keys: Object.values(KEYS),
    pickVm: () => random.pick(fleet.vms),
    /** Returns the time since the load began, to relate violations to events. */
    formatElapsed: () => `[${((time.now() - startedAt) / 1_000).toFixed(1)} s]`,
    deadline: Infinity,
    isSampling: true,
    version: 0,
    events: [],
    programs: new Set(),
    orders: [],
    singleCalls: [],
    limitedRequests: [],
    budgets: [],
    warnings: [],
  };
}

function startLoads(load) {
  const random = (lane) => createRandom.createRandom(load.seed, lane);
  return Promise.all([
    ...Array.from({ length: PROGRAM_LANES }, (_, lane) =>
      loads.runPrograms(load, random(200 + lane), lane),
    ),
    loads.runBudgets(load, random(300)),
    loads.runOrders(load, random(301)),
    loads.runSingleCalls(load),
    loads.runLimited(load),
  ]);
}

async function runFaults(load, fleet, durationMs) {
  const context = {
    recordVersion: (version) => {
      load.version = Math.max(load.version, version);
    },
    recordShutdown: (vm, exit) => {
      load.verdicts.count(`shutdowns with code ${exit?.code ?? 'none in time'}`);
    },
  };
  const createLane = (lane) => {
    const random = createRandom.createRandom(load.seed, lane);
    return { random, faults: createFaults.createFaults(fleet, random, context) };
  };
  await schedule.runSchedule(durationMs, createLane, (event) => {
    load.events.push(`${load.formatElapsed()} ${event}`);
    if (!event.startsWith('end of')) load.verdicts.count('faults');
  });
}

/** Checks that the configuration version in effect never decreases on a VM that is ready. */
async function sampleVersions(load, fleet) {
  await Promise.all(
    fleet.vms.map(async (vm) => {
      let highest = 0;
      while (load.isSampling) {
        const version = await readVersion(vm);
        if (version !== undefined) {
          const detail = `${load.formatElapsed()} ${vm.name}: ${version} after ${highest}`;
          load.verdicts.check(PROMISES.CONFIGURATION, version >= highest, detail);
          highest = Math.max(highest, version);
        }
        await time.sleep(SAMPLE_INTERVAL_MS);
      }
    }),
  );
}

async function readVersion(vm) {
  try {
    if (!(await vm.isReady())) return undefined;
    return (await vm.describeFleet()).configurationVersion;
  } catch {
    return undefined;
  }
}

/** Ends every program that was opened, so that no engine has to hold memory for one. */
async function endPrograms(load) {
  await Promise.all(
    [...load.programs].map(async (program) => {
      const deadline = time.now() + END_TIMEOUT_MS;
      while (time.now() < deadline) {
        const answer = await load.caller.send(load.pickVm(), 'DELETE', `/v1/programs/${program}`);
        if (answer.status === 200 || answer.status === 404 || answer.status === 409) return;
        await time.sleep(SAMPLE_INTERVAL_MS);
      }
    }),
  );
}
