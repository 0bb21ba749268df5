import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ENGINE_POOL, KEY, MODEL_ROUTE, SERVICE_POOL, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const NO_NEW_WORK_AFTER_MS = 3_000;
const WATCHED_MS = 4_000;
const CALL_GAP_MS = 20;

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
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

/** How many calls a target has been sent. */
async function countCalls(name: string): Promise<number> {
  const isEngine = name.startsWith('engine');
  const entries = await fleet.target(name).target.journal(isEngine ? '/v1/chat/' : '/work');
  return entries.length;
}

/** Makes calls of both kinds through all VMs until told to stop; returns what was not answered. */
async function runCalls(isStopped: () => boolean): Promise<readonly string[]> {
  const pick = fleetViews.pickInTurn(fleet.vms);
  const answers: Promise<testKit.CallerAnswer>[] = [];
  for (let count = 0; !isStopped(); count += 1) {
    answers.push(caller.chat(pick(), { text: `call ${count}` }));
    answers.push(caller.service(pick(), { route: SERVICE_ROUTE, path: '/work', body: '{}' }));
    await time.sleep(CALL_GAP_MS);
  }
  const all = await Promise.all(answers);
  return all.filter((answer) => answer.status !== 200).map(({ text }) => text);
}

/** Checks under load that a target gets calls before it leaves and none 3 s afterwards. */
async function expectNoNewWork(name: string, leave: () => Promise<unknown>): Promise<void> {
  let stopped = false;
  const running = runCalls(() => stopped);
  const before = await countCalls(name);
  await testKit.waitFor(async () => (await countCalls(name)) > before, { what: 'calls' });
  const leftAt = time.now();
  await leave();
  await time.sleep(Math.max(0, leftAt + NO_NEW_WORK_AFTER_MS - time.now()));
  const last = await countCalls(name);
  await time.sleep(WATCHED_MS);
  const later = await countCalls(name);
  stopped = true;
  expect(await running).toEqual([]);
  expect(later - last).toBe(0);
}

/** Takes a target out of a pool. */
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

  test('when a service says so by its status', async () => {
    const { target } = fleet.target('service-1');
    await expectNoNewWork('service-1', () => target.setFaults({ leaving: true }));
    await target.setFaults({ leaving: false });
  });

  test('when an engine is removed from its pool', () =>
    expectNoNewWork('engine-2', () => removeFromPool(ENGINE_POOL, 'engine-2')));

  test('when a service is removed from its pool', () =>
    expectNoNewWork('service-2', () => removeFromPool(SERVICE_POOL, 'service-2')));

  test('when the programs whose prefixes it holds go on', async () => {
    const runners = await Promise.all(
      Array.from({ length: 6 }, () =>
        testKit.ProgramRunner.open(caller, fleetViews.pickInTurn(fleet.vms)),
      ),
    );
    await Promise.all(runners.map((runner) => runner.turn('before')));
    const { target } = fleet.target('engine-3');
    await target.setFaults({ leaving: true });
    await time.sleep(NO_NEW_WORK_AFTER_MS);
    const last = await countCalls('engine-3');
    await Promise.all(runners.map((runner) => runner.turn('after')));
    expect(await countCalls('engine-3')).toBe(last);
    await target.setFaults({ leaving: false });
  });
});
