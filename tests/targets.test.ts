import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ENGINE_POOL, KEY, MODEL_ROUTE, SERVICE_POOL, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const LEAVE_TIMEOUT_MS = 3_000;
const OBSERVATION_MS = 4_000;
const CALL_INTERVAL_MS = 20;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    engines: 3,
    services: 2,
    settings: { journal: { shardCount: 6 } },
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

/** Returns the number of calls that a target has received. */
async function countCalls(name: string): Promise<number> {
  const isEngine = name.startsWith('engine');
  const entries = await fleet.target(name).target.journal(isEngine ? '/v1/chat/' : '/work');
  return entries.length;
}

/**
 * Makes model and service calls through all VMs until `isStopped` returns true. Returns the texts
 * of the responses with a status other than 200.
 */
async function runCalls(isStopped: () => boolean): Promise<readonly string[]> {
  const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
  const responses: Promise<testKit.CallerResponse>[] = [];
  for (let count = 0; !isStopped(); count += 1) {
    responses.push(caller.chat(pick(), { text: `call ${count}` }));
    responses.push(caller.service(pick(), { route: SERVICE_ROUTE, path: '/work', body: '{}' }));
    await time.sleep(CALL_INTERVAL_MS);
  }
  const all = await Promise.all(responses);
  return all.filter((response) => response.status !== 200).map(({ text }) => text);
}

/** Checks under load that a target receives calls before it leaves and none from 3 s afterwards. */
async function expectNoNewWork(name: string, leave: () => Promise<unknown>): Promise<void> {
  let stopped = false;
  const running = runCalls(() => stopped);
  const before = await countCalls(name);
  await testKit.waitFor(async () => (await countCalls(name)) > before, { what: 'calls' });
  const leftAt = time.now();
  await leave();
  await time.sleep(Math.max(0, leftAt + LEAVE_TIMEOUT_MS - time.now()));
  const countAtTimeout = await countCalls(name);
  await time.sleep(OBSERVATION_MS);
  const countAfterObservation = await countCalls(name);
  stopped = true;
  expect(await running).toEqual([]);
  expect(countAfterObservation - countAtTimeout).toBe(0);
}

/** Publishes a pool without one of its targets. */
async function removeFromPool(pool: string, name: string): Promise<void> {
  const tables = configuration.TABLES.parse(
    testKit.defaultTables(fleet.targets.map((target) => target.row)),
  );
  const found = tables.pools.find((candidate) => candidate.name === pool);
  if (found === undefined) throw new Error(`There is no pool ${pool}`);
  const targets = found.targets.filter((target) => target.name !== name);
  await fleet.publish({
    kind: configuration.CHANGE_KINDS.PUT_POOL,
    pool: { ...found, targets },
  });
}

describe('a leaving target gets no new work 3 s later', () => {
  test('when an engine says so by its status, and gets work again when it stays', async () => {
    const { target } = fleet.target('engine-1');
    await expectNoNewWork('engine-1', () => target.setFaults({ leaving: true }));
    await target.setFaults({ leaving: false });
    let stopped = false;
    const running = runCalls(() => stopped);
    const before = await countCalls('engine-1');
    await testKit.waitFor(async () => (await countCalls('engine-1')) > before, { what: 'calls' });
    stopped = true;
    expect(await running).toEqual([]);
  });

  test('when a service reports it in its status', async () => {
    const { target } = fleet.target('service-1');
    await expectNoNewWork('service-1', () => target.setFaults({ leaving: true }));
    await target.setFaults({ leaving: false });
  });

  test('when an engine is removed from its pool', () =>
    expectNoNewWork('engine-2', () => removeFromPool(ENGINE_POOL, 'engine-2')));

  test('when a service is removed from its pool', () =>
    expectNoNewWork('service-2', () => removeFromPool(SERVICE_POOL, 'service-2')));

  test('when programs whose prefixes it has cached continue', async () => {
    const runners = await Promise.all(
      Array.from({ length: 6 }, () =>
        testKit.ProgramRunner.open(caller, fleetHelpers.createRoundRobinPicker(fleet.vms)),
      ),
    );
    await Promise.all(runners.map((runner) => runner.turn('before')));
    const { target } = fleet.target('engine-3');
    await target.setFaults({ leaving: true });
    await time.sleep(LEAVE_TIMEOUT_MS);
    const countAtTimeout = await countCalls('engine-3');
    await Promise.all(runners.map((runner) => runner.turn('after')));
    expect(await countCalls('engine-3')).toBe(countAtTimeout);
    await target.setFaults({ leaving: false });
  });
});
