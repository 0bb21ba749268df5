import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { ACTION_ROUTE, KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

/** Maximum duration of a program with four turns while connections stall. */
const MAXIMUM_DURATION_MS = 20_000;
const PROGRAMS = 8;
const TURNS = 4;
const TOKENS_PER_TURN = 40;
const STALL_DELAY_MS = 700;
/** A service sends no data until it has finished, so a deadline bounds the wait for it. */
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
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

/** Runs a program to its end and returns how long it took, in milliseconds. */
async function runProgram(): Promise<clock.Milliseconds> {
  const startedAt = time.now();
  const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
  const runner = await testKit.ProgramRunner.open(caller, pick);
  for (let turn = 1; turn <= TURNS; turn += 1) {
    await runner.turn(`turn ${turn} generate=${TOKENS_PER_TURN}`, TOKENS_PER_TURN);
  }
  await runner.end();
  return time.now() - startedAt;
}

/** Runs programs while connections stall. Returns the longest duration, in milliseconds. */
async function measureSlowest(
  what: string,
  stallConnections: () => void,
): Promise<clock.Milliseconds> {
  const programs = Array.from({ length: PROGRAMS }, () => runProgram());
  const stalling = time.sleep(STALL_DELAY_MS).then(stallConnections);
  const [durations] = await Promise.all([Promise.all(programs), stalling]);
  const slowest = Math.max(...durations);
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

describe('programs finish in bounded time when established connections stall', () => {
  test('between peers', async () => {
    expect(await measureSlowest('peers', blackHolePeers)).toBeLessThan(MAXIMUM_DURATION_MS);
  });

  test('to the platform', async () => {
    expect(await measureSlowest('platform', blackHolePlatform)).toBeLessThan(MAXIMUM_DURATION_MS);
  });

  test('to targets', async () => {
    expect(await measureSlowest('targets', blackHoleTargets)).toBeLessThan(MAXIMUM_DURATION_MS);
  });

  test('everywhere at once', async () => {
    const slowest = await measureSlowest('everywhere', () => {
      blackHolePeers();
      blackHolePlatform();
      blackHoleTargets();
    });
    expect(slowest).toBeLessThan(MAXIMUM_DURATION_MS);
  });

  test('and service calls end too, and non-repeatable ones run at most once', async () => {
    const startedAt = time.now();
    const keys = Array.from({ length: 20 }, (_, index) => `silent-${index}`);
    const sending = keys.map(async (key, index) => {
      await time.sleep(index * 20);
      const vm = fleet.vm(index % fleet.vms.length);
      const limits = { deadlineMs: SERVICE_DEADLINE_MS, timeoutMs: MAXIMUM_DURATION_MS };
      const action = { route: ACTION_ROUTE, idempotencyKey: key, body: '{}', ...limits };
      const quote = { route: SERVICE_ROUTE, body: '{}', ...limits };
      return Promise.all([caller.service(vm, action), caller.service(vm, quote)]);
    });
    await time.sleep(200);
    blackHoleTargets();
    blackHolePeers();
    const responses = (await Promise.all(sending)).flat();
    expect(responses.filter((response) => response.status === 0)).toEqual([]);
    expect(time.now() - startedAt).toBeLessThan(MAXIMUM_DURATION_MS);
    const { byKey } = await fleet.target('service-1').target.executions();
    expect(keys.filter((key) => (byKey[key] ?? 0) > 1)).toEqual([]);
  });
});
