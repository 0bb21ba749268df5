import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ENGINE_POOL, KEY, MODEL_ROUTE, SERVICE_POOL, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const LEAVE_LIMIT_MS = 3_000;
const BEFORE_MS = 1_000;
const AFTER_MS = 3_000;
const BETWEEN_CALLS_MS = 40;
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
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

/** Sends programs and service calls through all VMs for a while; all must be answered. */
async function load(spanMs: clock.Milliseconds): Promise<void> {
  const pick = fleetViews.pickInTurn(fleet.vms);
  const answers = await Promise.all(
    Array.from({ length: spanMs / BETWEEN_CALLS_MS }, async (_, index) => {
      await time.sleep(index * BETWEEN_CALLS_MS);
      if (index % 2 === 0) return caller.service(pick(), { route: SERVICE_ROUTE, body: '{}' });
      return caller.chat(pick(), { text: `question ${index}`, maximumTokens: CALL_TOKENS });
    }),
  );
  expect(answers.map((answer) => answer.status)).toEqual(answers.map(() => 200));
}

/** How many calls a target has been sent. */
async function callsOf({ row, target }: testKit.FleetTarget): Promise<number> {
  const entries = await target.journal(row.kind === 'engine' ? '/v1/chat/' : '/');
  return entries.filter((entry) => entry.callId !== undefined).length;
}

/** Loads the fleet over the leaving of targets and checks that they get nothing afterwards. */
async function expectNoNewWork(
  leaving: readonly testKit.FleetTarget[],
  leave: () => Promise<unknown>,
): Promise<void> {
  const loading = load(BEFORE_MS + LEAVE_LIMIT_MS + AFTER_MS);
  await time.sleep(BEFORE_MS);
  const before = await Promise.all(leaving.map(callsOf));
  before.forEach((count) => expect(count).toBeGreaterThan(0));
  await leave();
  await time.sleep(LEAVE_LIMIT_MS);
  const atLimit = await Promise.all(leaving.map(callsOf));
  await loading;
  expect(await Promise.all(leaving.map(callsOf))).toEqual(atLimit);
}

async function removeFromPool(target: testKit.FleetTarget): Promise<void> {
  const pool = target.row.kind === 'engine' ? ENGINE_POOL : SERVICE_POOL;
  const rows = fleet.targets.map((one) => one.row);
  const tables = configuration.TABLES.parse(testKit.defaultTables(rows));
  const found = tables.pools.find((one) => one.name === pool);
  if (found === undefined) throw new Error(`There is no pool ${pool}`);
  const targets = found.targets.filter((one) => one.name !== target.name);
  await fleet.publish({
    kind: configuration.CHANGE_KINDS.PUT_POOL,
    pool: { ...found, targets },
  });
}

describe('a leaving target gets no new work after 3 s', () => {
  test('when it says that it leaves', async () => {
    const leaving = [fleet.target('engine-1'), fleet.target('service-1')];
    await expectNoNewWork(leaving, () =>
      Promise.all(leaving.map(({ target }) => target.setFaults({ leaving: true }))),
    );
    await Promise.all(leaving.map(({ target }) => target.setFaults({ leaving: false })));
  });

  test('when it is removed from its pool, also at a VM that is cut off from the log', async () => {
    const leaving = [fleet.target('engine-2'), fleet.target('service-2')];
    await fleet.vm(1).platformProxy.cut();
    await expectNoNewWork(leaving, async () => {
      for (const target of leaving) await removeFromPool(target);
    });
    await fleet.vm(1).platformProxy.restore();
  });
});
