import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ACTION_ROUTE, KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

/** Time in which a program of four turns finishes, whatever goes silent. */
const BOUND_MS = 20_000;
const PROGRAMS = 8;
const TURNS = 4;
const TOKENS_PER_TURN = 40;
const SILENT_AFTER_MS = 700;
/** A plain service sends nothing until it has done, so its callers say how long that may take. */
const SERVICE_DEADLINE_MS = 8_000;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['kochi', 'thrissur', 'kottayam'],
    engines: 2,
    engineOptions: { 'decode-ms-per-token': 10 },
    serviceOptions: { 'service-time-ms': 100 },
    proxies: { peers: true, platform: true, targets: true },
    settings: { journal: { shardCount: 6 } },
  });
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

/** Runs a program of some turns to its end and returns how long it took, in milliseconds. */
async function runProgram(): Promise<clock.Milliseconds> {
  const startedAt = time.now();
  const pick = fleetViews.pickInTurn(fleet.vms);
  const runner = await testKit.ProgramRunner.open(caller, pick);
  for (let turn = 1; turn <= TURNS; turn += 1) {
    await runner.turn(`turn ${turn} generate=${TOKENS_PER_TURN}`, TOKENS_PER_TURN);
  }
  await runner.end();
  return time.now() - startedAt;
}

/** Runs programs while connections go silent and returns the longest time. */
async function slowestWhile(what: string, silence: () => void): Promise<clock.Milliseconds> {
  const programs = Array.from({ length: PROGRAMS }, () => runProgram());
  const silencing = time.sleep(SILENT_AFTER_MS).then(silence);
  const [spans] = await Promise.all([Promise.all(programs), silencing]);
  const slowest = Math.max(...spans);
  process.stdout.write(`silence: ${what}: slowest program ${Math.round(slowest)} ms\n`);
  return slowest;
}

function blackHolePeers(): void {
  fleet.vms.forEach((vm) => vm.peersProxy.blackHoleEstablished());
}

function blackHolePlatform(): void {
  fleet.vms.forEach((vm) => vm.platformProxy.blackHoleEstablished());
}

function blackHoleTargets(): void {
  fleet.targets.forEach((target) => target.proxy.blackHoleEstablished());
}

describe('programs finish in bounded time when established connections go silent', () => {
  test('between peers', async () => {
    expect(await slowestWhile('peers', blackHolePeers)).toBeLessThan(BOUND_MS);
  });

  test('to the platform', async () => {
    expect(await slowestWhile('platform', blackHolePlatform)).toBeLessThan(BOUND_MS);
  });

  test('to targets', async () => {
    expect(await slowestWhile('targets', blackHoleTargets)).toBeLessThan(BOUND_MS);
  });

  test('everywhere at once', async () => {
    const slowest = await slowestWhile('everywhere', () => {
      blackHolePeers();
      blackHolePlatform();
      blackHoleTargets();
    });
    expect(slowest).toBeLessThan(BOUND_MS);
  });

  test('and calls of services end too, those that must not be repeated at most once', async () => {
    const startedAt = time.now();
    const keys = Array.from({ length: 20 }, (_, index) => `silent-${index}`);
    const sending = keys.map(async (key, index) => {
      await time.sleep(index * 20);
      const vm = fleet.vm(index % fleet.vms.length);
      const limits = { deadlineMs: SERVICE_DEADLINE_MS, timeoutMs: BOUND_MS };
      const action = { route: ACTION_ROUTE, idempotencyKey: key, body: '{}', ...limits };
      const quote = { route: SERVICE_ROUTE, body: '{}', ...limits };
      return Promise.all([caller.service(vm, action), caller.service(vm, quote)]);
    });
    await time.sleep(200);
    blackHoleTargets();
    blackHolePeers();
    const answers = (await Promise.all(sending)).flat();
    expect(answers.filter((answer) => answer.status === 0)).toEqual([]);
    expect(time.now() - startedAt).toBeLessThan(BOUND_MS);
    const { byKey } = await fleet.target('service-1').target.executions();
    expect(keys.filter((key) => (byKey[key] ?? 0) > 1)).toEqual([]);
  });
});
