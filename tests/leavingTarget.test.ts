import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ENGINE_POOL, KEY, MODEL_ROUTE, SERVICE_POOL, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const LEAVE_TIMEOUT_MS = 3_000;
const LOAD_BEFORE_MS = 1_000;
const LOAD_AFTER_MS = 3_000;
const CALL_INTERVAL_MS = 40;
const CALL_TOKENS = 10;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    engines: 3,
    services: 3,
    engineOptions: { 'decode-ms-per-token': 10 },
    proxies: { platform: true },
    settings: { journal: { shardCount: 6 } },
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

/** Sends model and service calls through all VMs for a duration. Checks that all are answered. */
async function sendLoad(durationMs: clock.Milliseconds): Promise<void> {
  const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
  const responses = await Promise.all(
    Array.from({ length: durationMs / CALL_INTERVAL_MS }, async (_, index) => {
      await time.sleep(index * CALL_INTERVAL_MS);
      if (index % 2 === 0) return caller.service(pick(), { route: SERVICE_ROUTE, body: '{}' });
      return caller.chat(pick(), { text: `question ${index}`, maximumTokens: CALL_TOKENS });
    }),
  );
  expect(responses.map((response) => response.status)).toEqual(responses.map(() => 200));
}

/** Returns the number of calls that a target has received. */
async function countCalls({ row, target }: testKit.FleetTarget): Promise<number> {
  const entries = await target.journal(row.kind === 'engine' ? '/v1/chat/' : '/');
  return entries.filter((entry) => entry.callId !== undefined).length;
}

/** Checks under load that targets receive calls before they leave and none 3 s afterwards. */
async function expectNoNewWork(
  leaving: readonly testKit.FleetTarget[],
  leave: () => Promise<unknown>,
): Promise<void> {
  const loading = sendLoad(LOAD_BEFORE_MS + LEAVE_TIMEOUT_MS + LOAD_AFTER_MS);
  await time.sleep(LOAD_BEFORE_MS);
  const before = await Promise.all(leaving.map(countCalls));
  before.forEach((count) => expect(count).toBeGreaterThan(0));
  await leave();
  await time.sleep(LEAVE_TIMEOUT_MS);
  const atTimeout = await Promise.all(leaving.map(countCalls));
  await loading;
  expect(await Promise.all(leaving.map(countCalls))).toEqual(atTimeout);
}

async function removeFromPool(target: testKit.FleetTarget): Promise<void> {
  const pool = target.row.kind === 'engine' ? ENGINE_POOL : SERVICE_POOL;
  const rows = fleet.targets.map((candidate) => candidate.row);
  const tables = configuration.TABLES.parse(testKit.defaultTables(rows));
  const found = tables.pools.find((candidate) => candidate.name === pool);
  if (found === undefined) throw new Error(`There is no pool ${pool}`);
  const targets = found.targets.filter((candidate) => candidate.name !== target.name);
  await fleet.publish({
    kind: configuration.CHANGE_KINDS.PUT_POOL,
    pool: { ...found, targets },
  });
}

describe('a leaving target gets no new work after 3 s', () => {
  test('when it reports that it is leaving', async () => {
    const leaving = [fleet.target('engine-1'), fleet.target('service-1')];
    await expectNoNewWork(leaving, () =>
      Promise.all(leaving.map(({ target }) => target.setFaults({ leaving: true }))),
    );
    await Promise.all(leaving.map(({ target }) => target.setFaults({ leaving: false })));
  });

  test('when it is removed from its pool, even on a VM that cannot reach the log', async () => {
    const leaving = [fleet.target('engine-2'), fleet.target('service-2')];
    await fleet.vm(1).platformProxy.cut();
    await expectNoNewWork(leaving, async () => {
      for (const target of leaving) await removeFromPool(target);
    });
    await fleet.vm(1).platformProxy.restore();
  });
});
