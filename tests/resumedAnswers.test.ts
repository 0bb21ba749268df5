import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const CALLS = 60;
const PROGRAMS = 8;
const TURNS = 3;
const TOKENS = 30;
const LINK_DELAY_MS = 30;
const FAULT_INTERVAL_MS = 300;
const DROP_AFTER_CHUNKS = 7;
const TRUNCATE_AFTER_BYTES = 3_000;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    engines: 2,
    services: 2,
    engineOptions: { 'decode-ms-per-token': 5 },
    serviceOptions: { 'service-time-ms': 30 },
    proxies: { peers: true, targets: true },
    settings: { journal: { shardCount: 6 } },
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

/** Injects a fault repeatedly until the work has finished. */
async function repeatFaultDuring<Value>(
  work: Promise<Value>,
  fault: () => unknown,
): Promise<Value> {
  let isDone = false;
  const ended = work.finally(() => {
    isDone = true;
  });
  const faults = async (): Promise<void> => {
    for (; !isDone; await time.sleep(FAULT_INTERVAL_MS)) await fault();
  };
  const [value] = await Promise.all([ended, faults()]);
  return value;
}

/** Runs programs concurrently and checks that each response is based on its program's history. */
async function runPrograms(): Promise<void> {
  await Promise.all(
    Array.from({ length: PROGRAMS }, async (_, index) => {
      const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
      const runner = await testKit.ProgramRunner.open(caller, pick);
      for (let turn = 0; turn < TURNS; turn += 1) {
        const response = await runner.turn(`program ${index} turn ${turn}`, TOKENS);
        const again = await fetchTurn(runner.program, turn + 1, pick());
        expect(testKit.contentOf(again)).toBe(testKit.contentOf(response));
      }
    }),
  );
}

/** Fetches the response of a turn, with retries until it is available. */
function fetchTurn(program: string, turn: number, vm: testKit.FleetVm) {
  const path = `/v1/programs/${program}/turns/${turn}`;
  return testKit.waitFor(
    async () => {
      const response = await caller.send(vm, 'GET', path);
      return response.status === 200 ? response : undefined;
    },
    { what: `turn ${turn} of ${program}` },
  );
}

/**
 * Sends service calls concurrently and checks that each response belongs to its call. Returns the
 * number of answered calls.
 */
async function callServices(): Promise<number> {
  const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
  const responses = await Promise.all(
    Array.from({ length: CALLS }, async (_, index) => {
      await time.sleep(index * 10);
      const body = JSON.stringify({ mark: `mark ${index}`, filling: 'x'.repeat(index * 50) });
      const path = `/quotes/${index}`;
      return {
        body,
        path,
        response: await caller.service(pick(), { route: SERVICE_ROUTE, path, body }),
      };
    }),
  );
  const answered = responses.filter(({ response }) => response.status === 200);
  answered.forEach(({ body, path, response }) => {
    expect(JSON.parse(response.text)).toMatchObject({ body, path });
  });
  return answered.length;
}

describe('a caller receives the complete response, even if it is resumed after an interruption', () => {
  test('when connections between peers are delayed and reset', async () => {
    fleet.vms.forEach((vm) => vm.peersProxy.delay(LINK_DELAY_MS));
    const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
    await repeatFaultDuring(Promise.all([runPrograms(), callServices()]), () =>
      pick().peersProxy.resetConnections(),
    );
    await Promise.all(fleet.vms.map((vm) => vm.peersProxy.restore()));
    expect(await callServices()).toBe(CALLS);
  });

  test('when every connection of an engine is dropped after some chunks', async () => {
    const engines = fleet.targets.filter((target) => target.row.kind === 'engine');
    await Promise.all(
      engines.map(({ target }) => target.setFaults({ dropAfterChunks: DROP_AFTER_CHUNKS })),
    );
    await runPrograms();
    await Promise.all(engines.map(({ target }) => target.setFaults({ dropAfterChunks: null })));
  });

  test('when responses of targets are delayed and truncated', async () => {
    fleet.targets.forEach((target) => target.proxy.delay(LINK_DELAY_MS));
    await repeatFaultDuring(Promise.all([runPrograms(), callServices()]), () =>
      fleet.targets.forEach((target) => target.proxy.truncateAfter(TRUNCATE_AFTER_BYTES)),
    );
    await Promise.all(fleet.targets.map((target) => target.proxy.restore()));
    expect(await callServices()).toBe(CALLS);
  });
});
