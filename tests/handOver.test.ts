import * as jestGlobals from '@jest/globals';
import * as testKit from '@limpettack/test-kit';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, expect, test } = jestGlobals;

const SERVICE_TIME_MS = 400;
const CALLERS = 8;
const LEDGER_ROUTE = 'ledger';

let fleet: testKit.Fleet;
const caller = new testKit.Caller(testKit.FLEET_NAMES.KEY, testKit.FLEET_NAMES.MODEL_ROUTE);

/** Returns the default tables with a non-repeatable route whose pool has no outcome query. */
function createTables(targets: readonly testKit.FleetTargetRow[]): testKit.TablesInput {
  const tables = testKit.defaultTables(targets);
  const services = tables.pools.filter((pool) => pool.kind === 'service');
  return {
    ...tables,
    routes: tables.routes.map((route) =>
      route.name === testKit.FLEET_NAMES.ACTION_ROUTE ? { ...route, name: LEDGER_ROUTE } : route,
    ),
    pools: [
      ...tables.pools.filter((pool) => pool.kind !== 'service'),
      ...services.map(({ outcomeQuery, ...pool }) => pool),
    ],
  };
}

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['kochi', 'thrissur', 'kottayam'],
    serviceOptions: { 'service-time-ms': SERVICE_TIME_MS },
    settings: { journal: { shardCount: 6 }, shutdown: { drainDelayMs: 500 } },
    tables: createTables,
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

/**
 * Sends orders through ready VMs until `isStopped` returns true. Callers with an even index send
 * them as turns of a program. Returns the responses with a status other than 200.
 */
async function sendOrders(index: number, isStopped: () => boolean): Promise<string[]> {
  const failures: string[] = [];
  const program = await caller.openProgram(fleet.vm(index % fleet.vms.length));
  for (let count = 1; !isStopped(); count += 1) {
    const ready = await readyVms();
    const vm = ready[(index + count) % ready.length] ?? fleet.vm(0);
    const idempotencyKey = `order-${index}-${count}`;
    const callOptions = index % 2 === 0 ? { program, turn: count } : {};
    const response = await caller.service(vm, {
      route: LEDGER_ROUTE,
      idempotencyKey,
      ...callOptions,
    });
    if (response.status !== 200)
      failures.push(`${idempotencyKey}: ${response.status} ${response.text}`);
  }
  return failures;
}

async function readyVms(): Promise<testKit.FleetVm[]> {
  const responses = await Promise.all(
    fleet.vms.map((vm) => caller.send(vm, 'GET', '/readyz', { timeoutMs: 300 })),
  );
  return fleet.vms.filter((_, index) => responses[index]?.status === 200);
}

test('orders that run during a handover of their shard are answered and run once', async () => {
  let stopped = false;
  const running = Array.from({ length: CALLERS }, (_, index) => sendOrders(index, () => stopped));
  for (const vm of fleet.vms) {
    vm.process.kill('SIGTERM');
    await vm.process.exited;
    await vm.start();
    await fleet.untilReady();
  }
  stopped = true;
  const failures = (await Promise.all(running)).flat();
  const { byKey } = await fleet.target('service-1').target.executions();
  expect(Object.entries(byKey).filter(([, count]) => count !== 1)).toEqual([]);
  expect(failures).toEqual([]);
});
