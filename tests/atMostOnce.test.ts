import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ACTION_ROUTE, KEY, MODEL_ROUTE, WORKSPACE } = testKit.FLEET_NAMES;

/** Not repeatable either, and its pool names no outcome query. */
const LEDGER_ROUTE = 'ledgers';
const LEDGER_POOL = 'ledger-services';
const LEDGER_TIME_LIMIT_MS = 1_500;

const ORDERS = 60;
const BETWEEN_ORDERS_MS = 10;
const FAULT_AFTER_MS = 350;
const PAUSE_MS = 10_000;
const RESEND_LIMIT_MS = 45_000;
const RESEND_PAUSE_MS = 200;
const TRY_LIMIT_MS = 6_000;

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
      const { outcomeQuery, ...blind } = services;
      expect(outcomeQuery).toBeDefined();
      return {
        ...tables,
        routes: [
          ...tables.routes,
          { name: LEDGER_ROUTE, kind: 'service', pool: LEDGER_POOL, repeatable: false },
        ],
        pools: [
          engines,
          { ...services, targets: [first] },
          {
            ...blind,
            name: LEDGER_POOL,
            targets: [second],
            timeLimits: { totalMs: LEDGER_TIME_LIMIT_MS },
          },
        ],
      };
    },
  });
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

/** Sends an order once, with all that makes it the same order. */
function send(vm: testKit.FleetVm, route: string, key: string): Promise<testKit.CallerAnswer> {
  const body = JSON.stringify({ order: key });
  return caller.service(vm, { route, idempotencyKey: key, body, timeoutMs: TRY_LIMIT_MS });
}

/** Sends an order again and again, beginning at a VM, until it is answered for good. */
async function resend(route: string, key: string, first: number): Promise<testKit.CallerAnswer> {
  const deadline = time.now() + RESEND_LIMIT_MS;
  for (let count = first; ; count += 1) {
    const answer = await send(fleet.vm(count % fleet.vms.length), route, key);
    const isFinal = answer.status === 200 || answer.text.includes('outcome-unknown');
    if (isFinal || time.now() > deadline) return answer;
    await time.sleep(RESEND_PAUSE_MS);
  }
}

/** Sends orders in short steps, each through all VMs at once, and returns their answers by key. */
async function sendOrders(
  route: string,
  prefix: string,
): Promise<Map<string, readonly testKit.CallerAnswer[]>> {
  const orders = Array.from({ length: ORDERS }, async (_, index) => {
    await time.sleep(index * BETWEEN_ORDERS_MS);
    const key = `${prefix}-${index}`;
    const answers = await Promise.all(fleet.vms.map((__, first) => resend(route, key, first)));
    return [key, answers] as const;
  });
  return new Map(await Promise.all(orders));
}

/**
 * Checks that no order was executed twice, that each caller who got an answer got that of the one
 * execution, and that all others were told that the outcome is not known.
 */
async function expectOnce(
  what: string,
  answers: Map<string, readonly testKit.CallerAnswer[]>,
  target: string,
): Promise<number> {
  const { byKey } = await fleet.target(target).target.executions();
  const all = [...answers].map(([key, list]) => ({ key, list, count: byKey[key] ?? 0 }));
  expect(all.filter(({ count }) => count > 1)).toEqual([]);
  const answered = all.filter(({ list }) => list.some((answer) => answer.status === 200));
  expect(answered.filter(({ count }) => count !== 1)).toEqual([]);
  const texts = answered.map(({ list }) => list.filter((answer) => answer.status === 200));
  expect(texts.filter((list) => new Set(list.map(({ text }) => text)).size > 1)).toEqual([]);
  const others = [...answers.values()].flat().filter((answer) => answer.status !== 200);
  expect(others.filter((answer) => !answer.text.includes('"outcome-unknown"'))).toEqual([]);
  process.stdout.write(
    `at most once: ${what}: orders ${all.length}, answered ${answered.length}, ` +
      `never executed ${all.filter(({ count }) => count === 0).length}\n`,
  );
  return answered.length;
}

async function inDoubt(): Promise<readonly { callKey: string; idempotencyKey: string }[]> {
  const list = await fleet.vm(0).askOperators('GET', 'in-doubt');
  return (list as { calls: { callKey: string; idempotencyKey: string }[] }).calls;
}

async function resolve(key: string, outcome: 'ran' | 'not-run'): Promise<unknown> {
  const call = (await inDoubt()).find((candidate) => candidate.idempotencyKey === key);
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
    await time.sleep(FAULT_AFTER_MS);
    await fleet.vm(1).restart();
    await expectOnce('home killed', await sending, 'service-1');
    await fleetViews.untilPaired(fleet);
  });

  test('while its home is paused for 10 s and wakes after the takeover', async () => {
    const sending = sendOrders(ACTION_ROUTE, 'paused');
    await time.sleep(FAULT_AFTER_MS);
    const pause = new testKit.TestTimer(PAUSE_MS);
    fleet.vm(2).process.pause();
    await pause.untilElapsed();
    fleet.vm(2).process.resume();
    await expectOnce('home paused', await sending, 'service-1');
    await fleetViews.untilPaired(fleet);
  });

  test('while the log loses answers and its home is killed', async () => {
    await fleet.platform.setFaults({ loseAnswersProbability: 0.3, seed: 5 });
    const sending = sendOrders(ACTION_ROUTE, 'lost');
    await time.sleep(FAULT_AFTER_MS);
    await fleet.vm(0).restart();
    const answers = await sending;
    await fleet.platform.setFaults({ loseAnswersProbability: 0 });
    await expectOnce('answers of the log lost', answers, 'service-1');
    await fleetViews.untilPaired(fleet);
  });

  test('and its outcome is found by the query when the target loses its answer', async () => {
    const service = fleet.target('service-1').target;
    await service.setFaults({ loseAnswers: 10 });
    const answers = await sendOrders(ACTION_ROUTE, 'found');
    await service.setFaults({ loseAnswers: 0 });
    expect(await expectOnce('answers of the target lost', answers, 'service-1')).toBe(ORDERS);
  });

  test('and is shown in doubt until an operator says that it ran', async () => {
    const service = fleet.target('service-2').target;
    await service.setFaults({ loseAnswers: 1 });
    const first = testKit.refusalOf(await resend(LEDGER_ROUTE, 'doubt', 0));
    expect(first).toMatchObject({ kind: 'outcome-unknown', run: 'unknown' });
    expect(await resolve('doubt', 'ran')).toMatchObject({ resolved: true });
    const second = testKit.refusalOf(await resend(LEDGER_ROUTE, 'doubt', 1));
    expect(second).toMatchObject({ kind: 'outcome-unknown', run: 'ran' });
    expect((await inDoubt()).map((call) => call.idempotencyKey)).not.toContain('doubt');
    expect((await service.executions()).byKey.doubt).toBe(1);
  });

  test('and runs when an operator says that it has not', async () => {
    const service = fleet.target('service-2').target;
    await service.setFaults({ hang: true });
    const first = testKit.refusalOf(await resend(LEDGER_ROUTE, 'hung', 0));
    expect(first).toMatchObject({ kind: 'outcome-unknown', run: 'unknown' });
    await service.setFaults({ hang: false });
    await resolve('hung', 'not-run');
    expect((await resend(LEDGER_ROUTE, 'hung', 2)).status).toBe(200);
    expect((await service.executions()).byKey.hung).toBe(1);
  });

  test('and stays in doubt over the kill of its home in mid-call', async () => {
    const service = fleet.target('service-2').target;
    const callKey = JSON.stringify(['workspace', WORKSPACE, LEDGER_ROUTE, 'mid-call']);
    const { owner } = await fleetViews.holdersOf(fleet, callKey);
    await service.setFaults({ delayMs: 1_000 });
    const sending = resend(LEDGER_ROUTE, 'mid-call', 0);
    await testKit.waitFor(async () => (await service.journal('/')).some(isMidCall), {
      what: 'the call at the target',
    });
    await fleetViews.killVm(owner);
    expect(testKit.refusalOf(await sending).kind).toBe('outcome-unknown');
    await service.setFaults({ delayMs: 0 });
    await owner.start();
    await fleetViews.untilPaired(fleet);
    expect((await inDoubt()).map((call) => call.idempotencyKey)).toContain('mid-call');
    expect((await service.executions()).byKey['mid-call'] ?? 0).toBeLessThanOrEqual(1);
  });
});

function isMidCall(entry: { readonly body: string }): boolean {
  return entry.body.includes('mid-call');
}
