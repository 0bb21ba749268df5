import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const CALLS = 60;
const PROGRAMS = 8;
const TURNS = 3;
const TOKENS = 30;
const LINK_DELAY_MS = 30;
const BETWEEN_FAULTS_MS = 300;
const DROP_AFTER_CHUNKS = 7;
const CUT_ANSWER_BYTES = 3_000;

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
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

/** Lets a fault work again and again until the work has ended. */
async function duringFaults<Value>(work: Promise<Value>, fault: () => unknown): Promise<Value> {
  let isOver = false;
  const ended = work.finally(() => {
    isOver = true;
  });
  const faults = async (): Promise<void> => {
    for (; !isOver; await time.sleep(BETWEEN_FAULTS_MS)) await fault();
  };
  const [value] = await Promise.all([ended, faults()]);
  return value;
}

/** Runs programs beside each other; each checks that its answers rest on its own history. */
async function runPrograms(): Promise<void> {
  await Promise.all(
    Array.from({ length: PROGRAMS }, async (_, index) => {
      const pick = fleetViews.pickInTurn(fleet.vms);
      const runner = await testKit.ProgramRunner.open(caller, pick);
      for (let turn = 0; turn < TURNS; turn += 1) {
        const answer = await runner.turn(`program ${index} turn ${turn}`, TOKENS);
        const again = await fetchTurn(runner.program, turn + 1, pick());
        expect(testKit.contentOf(again)).toBe(testKit.contentOf(answer));
      }
    }),
  );
}

/** Fetches the answer of a turn until it comes whole. */
function fetchTurn(program: string, turn: number, vm: testKit.FleetVm) {
  const path = `/v1/programs/${program}/turns/${turn}`;
  return testKit.waitFor(
    async () => {
      const answer = await caller.send(vm, 'GET', path);
      return answer.status === 200 ? answer : undefined;
    },
    { what: `turn ${turn} of ${program}` },
  );
}

/** Sends service calls beside each other and checks that each answer is that of its own call. */
async function callServices(): Promise<number> {
  const pick = fleetViews.pickInTurn(fleet.vms);
  const answers = await Promise.all(
    Array.from({ length: CALLS }, async (_, index) => {
      await time.sleep(index * 10);
      const body = JSON.stringify({ mark: `mark ${index}`, filling: 'x'.repeat(index * 50) });
      const path = `/quotes/${index}`;
      return {
        body,
        path,
        answer: await caller.service(pick(), { route: SERVICE_ROUTE, path, body }),
      };
    }),
  );
  const answered = answers.filter(({ answer }) => answer.status === 200);
  answered.forEach(({ body, path, answer }) => {
    expect(JSON.parse(answer.text)).toMatchObject({ body, path });
  });
  return answered.length;
}

describe('a caller receives the whole answer, also when it goes on where it broke off', () => {
  test('when links between peers are late and reset', async () => {
    fleet.vms.forEach((vm) => vm.peersProxy.delay(LINK_DELAY_MS));
    const pick = fleetViews.pickInTurn(fleet.vms);
    await duringFaults(Promise.all([runPrograms(), callServices()]), () =>
      pick().peersProxy.resetConnections(),
    );
    await Promise.all(fleet.vms.map((vm) => vm.peersProxy.restore()));
    expect(await callServices()).toBe(CALLS);
  });

  test('when each connection of an engine breaks off after some chunks', async () => {
    const engines = fleet.targets.filter((target) => target.row.kind === 'engine');
    await Promise.all(
      engines.map(({ target }) => target.setFaults({ dropAfterChunks: DROP_AFTER_CHUNKS })),
    );
    await runPrograms();
    await Promise.all(engines.map(({ target }) => target.setFaults({ dropAfterChunks: null })));
  });

  test('when answers of targets are late and cut short', async () => {
    fleet.targets.forEach((target) => target.proxy.delay(LINK_DELAY_MS));
    await duringFaults(Promise.all([runPrograms(), callServices()]), () =>
      fleet.targets.forEach((target) => target.proxy.truncateAfter(CUT_ANSWER_BYTES)),
    );
    await Promise.all(fleet.targets.map((target) => target.proxy.restore()));
    expect(await callServices()).toBe(CALLS);
  });
});
