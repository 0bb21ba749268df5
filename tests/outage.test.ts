import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ACTION_ROUTE, KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const OUTAGE_MS = 20_000;
const PROGRAMS = 4;
const TURNS_BEFORE = 2;
const TURNS_DURING_OUTAGE = 2;
const MAXIMUM_REFUSAL_MS = 1_000;
const RECOVERY_TIMEOUT_MS = 15_000;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;
let runners: readonly testKit.ProgramRunner[];

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    engines: 2,
    settings: { journal: { shardCount: 6 } },
  });
  await fleetHelpers.untilStandbysReady(fleet);
  runners = await Promise.all(
    Array.from({ length: PROGRAMS }, () =>
      testKit.ProgramRunner.open(caller, fleetHelpers.createRoundRobinPicker(fleet.vms)),
    ),
  );
  await runTurns(TURNS_BEFORE, 'before');
});

afterAll(() => fleet.dispose());

async function runTurns(count: number, text: string): Promise<readonly testKit.CallerResponse[]> {
  const responses = await Promise.all(
    runners.map(async (runner) => {
      const all: testKit.CallerResponse[] = [];
      for (let index = 0; index < count; index += 1) all.push(await runner.turn(text));
      return all;
    }),
  );
  return responses.flat();
}

async function untilLogIsBack(): Promise<void> {
  await fleet.platform.setFaults({ logOutage: false });
  await testKit.waitFor(
    async () => {
      const views = await Promise.all(fleet.vms.map((vm) => vm.describeFleet()));
      return views.every((view) => view.isLogAvailable);
    },
    { what: 'the VMs to reach the log', timeoutMs: RECOVERY_TIMEOUT_MS },
  );
}

/** Sends an order to each VM and measures the time until each response, in milliseconds. */
async function sendOrders(prefix: string) {
  return Promise.all(
    fleet.vms.map(async (vm) => {
      const startedAt = time.now();
      const idempotencyKey = `${prefix}-${vm.name}`;
      const response = await caller.service(vm, {
        route: ACTION_ROUTE,
        idempotencyKey,
        body: '{}',
      });
      return { response, durationMs: time.now() - startedAt };
    }),
  );
}

describe('while the log is down', () => {
  test('repeatable calls continue, others are refused, and everything is journaled when it returns', async () => {
    const outage = new testKit.TestTimer(OUTAGE_MS);
    await fleet.platform.setFaults({ logOutage: true });
    const turns = await runTurns(TURNS_DURING_OUTAGE, 'in the outage');
    const durabilities = turns.map((response) => response.headers['limpettack-durability']);
    expect(durabilities).toEqual(turns.map(() => 'replicated'));
    const quotes = await Promise.all(
      fleet.vms.map((vm) => caller.service(vm, { route: SERVICE_ROUTE, body: '{}' })),
    );
    const chats = await Promise.all(fleet.vms.map((vm) => caller.chat(vm, { text: 'single' })));
    expect([...quotes, ...chats].map((response) => response.status)).toEqual(Array(6).fill(200));

    const refused = [...(await sendOrders('early')), ...(await sendOrders('again'))];
    await outage.untilElapsed();
    refused.push(...(await sendOrders('late')));
    refused.forEach(({ response, durationMs }) => {
      const refusal = testKit.refusalOf(response);
      expect(refusal).toMatchObject({ kind: 'log-unavailable', run: 'not-run' });
      expect(refusal.retryAfterMs).toBeGreaterThan(0);
      expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
      expect(durationMs).toBeLessThan(MAXIMUM_REFUSAL_MS);
    });
    expect((await fleet.target('service-1').target.executions()).byKey).toEqual({});

    await untilLogIsBack();
    // The same orders are now accepted, and records held back by the outage are appended with them.
    const accepted = await sendOrders('early');
    expect(accepted.map(({ response }) => response.status)).toEqual([200, 200, 200]);
    await untilJournaled();
    await Promise.all(fleet.vms.map((vm) => fleetHelpers.killVm(vm)));
    await Promise.all(fleet.vms.map((vm) => vm.start()));
    await fleetHelpers.untilStandbysReady(fleet);
    await runTurns(1, 'after');
    const expected = TURNS_BEFORE + TURNS_DURING_OUTAGE + 1;
    expect(runners.map((runner) => runner.turns)).toEqual(runners.map(() => expected));
    const { byKey } = await fleet.target('service-1').target.executions();
    expect(Object.values(byKey)).toEqual([1, 1, 1]);
  });
});

/** Waits until no more records are appended, which means that none are pending. */
async function untilJournaled(): Promise<void> {
  let last = -1;
  await testKit.waitFor(
    async () => {
      const counts = Object.values(await fleet.platform.counts());
      const records = counts.reduce((sum, count) => sum + count.records, 0);
      const isUnchanged = records === last;
      last = records;
      return isUnchanged;
    },
    { what: 'the appends to end', timeoutMs: RECOVERY_TIMEOUT_MS, intervalMs: 1_000 },
  );
}
