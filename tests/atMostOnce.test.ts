import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ACTION_ROUTE, KEY, MODEL_ROUTE, WORKSPACE } = testKit.FLEET_NAMES;

/** A second non-repeatable route, whose pool has no outcome query. */
const NO_QUERY_ROUTE = 'ledgers';
const NO_QUERY_POOL = 'ledger-services';
const NO_QUERY_TIME_LIMIT_MS = 1_500;

const ORDERS = 60;
const ORDER_INTERVAL_MS = 10;
const FAULT_DELAY_MS = 350;
const PAUSE_MS = 10_000;
const RETRY_TIMEOUT_MS = 45_000;
const RETRY_INTERVAL_MS = 200;
const ATTEMPT_TIMEOUT_MS = 6_000;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    services: 2,
    serviceOptions: { 'service-time-ms': 60 },
    settings: { journal: { shardCount: 6 } },
    tables: (targets) => {
      const tables = testKit.defaultTables(targets);
      const [engines, services] = tables.pools;
      const [first, second] = services?.targets ?? [];
      if (!engines || !services || !first || !second) throw new Error('A pool is missing');
      const { outcomeQuery, ...poolWithoutQuery } = services;
      expect(outcomeQuery).toBeDefined();
      return {
        ...tables,
        routes: [
          ...tables.routes,
          { name: NO_QUERY_ROUTE, kind: 'service', pool: NO_QUERY_POOL, repeatable: false },
        ],
        pools: [
          engines,
          { ...services, targets: [first] },
          {
            ...poolWithoutQuery,
            name: NO_QUERY_POOL,
            targets: [second],
            timeLimits: { totalMs: NO_QUERY_TIME_LIMIT_MS },
          },
        ],
      };
    },
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

/** Sends an order once. Every attempt has the same idempotency key and body. */
function send(vm: testKit.FleetVm, route: string, key: string): Promise<testKit.CallerResponse> {
  const body = JSON.stringify({ order: key });
  return caller.service(vm, { route, idempotencyKey: key, body, timeoutMs: ATTEMPT_TIMEOUT_MS });
}

/** Sends an order repeatedly, starting with the VM at an index, until its response is final. */
async function sendUntilFinal(
  route: string,
  key: string,
  first: number,
): Promise<testKit.CallerResponse> {
  const deadline = time.now() + RETRY_TIMEOUT_MS;
  for (let count = first; ; count += 1) {
    const response = await send(fleet.vm(count % fleet.vms.length), route, key);
    const isFinal = response.status === 200 || response.text.includes('outcome-unknown');
    if (isFinal || time.now() > deadline) return response;
    await time.sleep(RETRY_INTERVAL_MS);
  }
}

/** Sends orders at short intervals, each through all VMs at once. Returns the responses by key. */
async function sendOrders(
  route: string,
  prefix: string,
): Promise<Map<string, readonly testKit.CallerResponse[]>> {
  const orders = Array.from({ length: ORDERS }, async (_, index) => {
    await time.sleep(index * ORDER_INTERVAL_MS);
    const key = `${prefix}-${index}`;
    const responses = await Promise.all(
      fleet.vms.map((__, first) => sendUntilFinal(route, key, first)),
    );
    return [key, responses] as const;
  });
  return new Map(await Promise.all(orders));
}

/**
 * Checks that no order was executed twice, that all successful responses to an order are those of
 * its single execution, and that all other responses report an unknown outcome. Returns the number
 * of orders with a successful response.
 */
async function expectAtMostOnce(
  what: string,
  responses: Map<string, readonly testKit.CallerResponse[]>,
  target: string,
): Promise<number> {
  const { byKey } = await fleet.target(target).target.executions();
  const all = [...responses].map(([key, list]) => ({ key, list, count: byKey[key] ?? 0 }));
  expect(all.filter(({ count }) => count > 1)).toEqual([]);
  const answered = all.filter(({ list }) => list.some((response) => response.status === 200));
  expect(answered.filter(({ count }) => count !== 1)).toEqual([]);
  const successful = answered.map(({ list }) => list.filter((response) => response.status === 200));
  expect(successful.filter((list) => new Set(list.map(({ text }) => text)).size > 1)).toEqual([]);
  const others = [...responses.values()].flat().filter((response) => response.status !== 200);
  expect(others.filter((response) => !response.text.includes('"outcome-unknown"'))).toEqual([]);
  process.stdout.write(
    `at most once: ${what}: orders ${all.length}, answered ${answered.length}, ` +
      `never executed ${all.filter(({ count }) => count === 0).length}\n`,
  );
  return answered.length;
}

async function listCallsInDoubt(): Promise<readonly { callKey: string; idempotencyKey: string }[]> {
  const list = await fleet.vm(0).askOperators('GET', 'in-doubt');
  return (list as { calls: { callKey: string; idempotencyKey: string }[] }).calls;
}

async function resolveCall(key: string, outcome: 'ran' | 'not-run'): Promise<unknown> {
  const call = (await listCallsInDoubt()).find((candidate) => candidate.idempotencyKey === key);
  expect(call).toBeDefined();
  return fleet.vm(1).askOperators('POST', 'in-doubt/resolve', {
    callKey: call?.callKey,
    outcome,
    note: 'looked up by hand',
  });
}

describe('a call that must not be repeated runs at most once', () => {
  test('while its home is killed', async () => {
    const sending = sendOrders(ACTION_ROUTE, 'killed');
    await time.sleep(FAULT_DELAY_MS);
    await fleet.vm(1).restart();
    await expectAtMostOnce('home killed', await sending, 'service-1');
    await fleetHelpers.untilStandbysReady(fleet);
  });

  test('while its home is paused for 10 s and resumes after the takeover', async () => {
    const sending = sendOrders(ACTION_ROUTE, 'paused');
    await time.sleep(FAULT_DELAY_MS);
    const pause = new testKit.TestTimer(PAUSE_MS);
    fleet.vm(2).process.pause();
    await pause.untilElapsed();
    fleet.vm(2).process.resume();
    await expectAtMostOnce('home paused', await sending, 'service-1');
    await fleetHelpers.untilStandbysReady(fleet);
  });

  test('while the log loses responses and its home is killed', async () => {
    await fleet.platform.setFaults({ loseAnswersProbability: 0.3, seed: 5 });
    const sending = sendOrders(ACTION_ROUTE, 'lost');
    await time.sleep(FAULT_DELAY_MS);
    await fleet.vm(0).restart();
    const responses = await sending;
    await fleet.platform.setFaults({ loseAnswersProbability: 0 });
    await expectAtMostOnce('answers of the log lost', responses, 'service-1');
    await fleetHelpers.untilStandbysReady(fleet);
  });

  test('and its outcome is found by the outcome query when the target loses its response', async () => {
    const service = fleet.target('service-1').target;
    await service.setFaults({ loseAnswers: 10 });
    const responses = await sendOrders(ACTION_ROUTE, 'found');
    await service.setFaults({ loseAnswers: 0 });
    expect(await expectAtMostOnce('answers of the target lost', responses, 'service-1')).toBe(
      ORDERS,
    );
  });

  test('and is listed as in doubt until an operator resolves it as "ran"', async () => {
    const service = fleet.target('service-2').target;
    await service.setFaults({ loseAnswers: 1 });
    const first = testKit.refusalOf(await sendUntilFinal(NO_QUERY_ROUTE, 'doubt', 0));
    expect(first).toMatchObject({ kind: 'outcome-unknown', run: 'unknown' });
    expect(await resolveCall('doubt', 'ran')).toMatchObject({ resolved: true });
    const second = testKit.refusalOf(await sendUntilFinal(NO_QUERY_ROUTE, 'doubt', 1));
    expect(second).toMatchObject({ kind: 'outcome-unknown', run: 'ran' });
    expect((await listCallsInDoubt()).map((call) => call.idempotencyKey)).not.toContain('doubt');
    expect((await service.executions()).byKey.doubt).toBe(1);
  });

  test('and runs after an operator has resolved it as "not-run"', async () => {
    const service = fleet.target('service-2').target;
    await service.setFaults({ hang: true });
    const first = testKit.refusalOf(await sendUntilFinal(NO_QUERY_ROUTE, 'hung', 0));
    expect(first).toMatchObject({ kind: 'outcome-unknown', run: 'unknown' });
    await service.setFaults({ hang: false });
    await resolveCall('hung', 'not-run');
    expect((await sendUntilFinal(NO_QUERY_ROUTE, 'hung', 2)).status).toBe(200);
    expect((await service.executions()).byKey.hung).toBe(1);
  });

  test('and remains in doubt when its home is killed in mid-call', async () => {
    const service = fleet.target('service-2').target;
    const callKey = JSON.stringify(['workspace', WORKSPACE, NO_QUERY_ROUTE, 'mid-call']);
    const { owner } = await fleetHelpers.holdersOf(fleet, callKey);
    await service.setFaults({ delayMs: 1_000 });
    const sending = sendUntilFinal(NO_QUERY_ROUTE, 'mid-call', 0);
    await testKit.waitFor(async () => (await service.journal('/')).some(isMidCall), {
      what: 'the call at the target',
    });
    await fleetHelpers.killVm(owner);
    expect(testKit.refusalOf(await sending).kind).toBe('outcome-unknown');
    await service.setFaults({ delayMs: 0 });
    await owner.start();
    await fleetHelpers.untilStandbysReady(fleet);
    expect((await listCallsInDoubt()).map((call) => call.idempotencyKey)).toContain('mid-call');
    expect((await service.executions()).byKey['mid-call'] ?? 0).toBeLessThanOrEqual(1);
  });
});

function isMidCall(entry: { readonly body: string }): boolean {
  return entry.body.includes('mid-call');
}
