import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { ACTION_ROUTE, KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const CALLS = 60;
const CALL_INTERVAL_MS = 15;
const CALL_DEADLINE_MS = 6_000;
const RESETS = 20;
const RESET_INTERVAL_MS = 50;
const FAULT_DURATION_MS = 1_500;
const TRUNCATE_AFTER_BYTES = 500;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;
let sentCount = 0;

/** A call and the response to it. */
interface CallResult {
  /** Part of the request body, by which the call is found in the journals of the targets. */
  readonly text: string;
  readonly response: testKit.CallerResponse;
}

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    engines: 2,
    services: 2,
    engineOptions: { 'decode-ms-per-token': 5 },
    serviceOptions: { 'service-time-ms': 20 },
    proxies: { peers: true, targets: true, platform: true },
    settings: { journal: { shardCount: 6 } },
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterEach(() => fleetHelpers.untilStandbysReady(fleet));

afterAll(() => fleet.dispose());

/** Makes calls of three kinds at short intervals through all VMs in turn. */
function sendCalls(): Promise<readonly CallResult[]> {
  const pick = fleetHelpers.createRoundRobinPicker(fleet.vms);
  return Promise.all(
    Array.from({ length: CALLS }, async (_, index) => {
      await time.sleep(index * CALL_INTERVAL_MS);
      sentCount += 1;
      const text = `call-${sentCount}-of-not-run`;
      return { text, response: await sendCall(index % 3, pick(), text) };
    }),
  );
}

function sendCall(
  kind: number,
  vm: testKit.FleetVm,
  text: string,
): Promise<testKit.CallerResponse> {
  const deadlineMs = CALL_DEADLINE_MS;
  if (kind === 0) return caller.chat(vm, { text, deadlineMs });
  const body = JSON.stringify({ text });
  if (kind === 1) return caller.service(vm, { route: SERVICE_ROUTE, body, deadlineMs });
  return caller.service(vm, { route: ACTION_ROUTE, idempotencyKey: text, body, deadlineMs });
}

function isNotRun(call: CallResult): boolean {
  return call.response.status >= 400 && testKit.refusalOf(call.response).run === 'not-run';
}

/** Checks that no call that was refused as not run appears in the journal of a target. */
async function expectNotRun(what: string, calls: readonly CallResult[]): Promise<void> {
  const journals = await Promise.all(fleet.targets.map(({ target }) => target.journal()));
  const bodies = journals.flat().map((entry) => entry.body);
  const refused = calls.filter(isNotRun);
  const contradicted = refused.filter(({ text }) => bodies.some((body) => body.includes(text)));
  const answered = calls.filter(({ response }) => response.status === 200).length;
  process.stdout.write(
    `not run: ${what}: calls ${calls.length}, answered ${answered}, not run ${refused.length}\n`,
  );
  expect(contradicted.map(({ text, response }) => `${text}: ${response.text}`)).toEqual([]);
}

/** Sends calls while a fault is active. */
async function sendDuring(fault: () => Promise<void>): Promise<readonly CallResult[]> {
  const [calls] = await Promise.all([sendCalls(), fault()]);
  return calls;
}

/** Repeatedly resets all connections of proxies. */
async function resetRepeatedly(proxies: readonly testKit.FaultProxy[]): Promise<void> {
  for (let count = 0; count < RESETS; count += 1) {
    proxies.forEach((proxy) => proxy.resetConnections());
    await time.sleep(RESET_INTERVAL_MS);
  }
}

/** Cuts all connections of proxies for `FAULT_DURATION_MS`. */
async function cutFor(proxies: readonly testKit.FaultProxy[]): Promise<void> {
  await Promise.all(proxies.map((proxy) => proxy.cut()));
  await time.sleep(FAULT_DURATION_MS);
  await Promise.all(proxies.map((proxy) => proxy.restore()));
}

describe('a call that is refused as "not run" has reached no target', () => {
  test('when connections between entry VM and home are reset and cut', async () => {
    const proxies = fleet.vms.map((vm) => vm.peersProxy);
    await expectNotRun('peers reset', await sendDuring(() => resetRepeatedly(proxies)));
    await expectNotRun('peers cut', await sendDuring(() => cutFor(proxies)));
  });

  test('when connections between home and targets are reset, cut and truncated', async () => {
    const proxies = fleet.targets.map((target) => target.proxy);
    await expectNotRun('targets reset', await sendDuring(() => resetRepeatedly(proxies)));
    await expectNotRun('targets cut', await sendDuring(() => cutFor(proxies)));
    const truncate = async () =>
      proxies.forEach((proxy) => proxy.truncateAfter(TRUNCATE_AFTER_BYTES));
    await expectNotRun('answers broken off', await sendDuring(truncate));
    await Promise.all(proxies.map((proxy) => proxy.restore()));
  });

  test('when targets refuse connections and respond with errors', async () => {
    const setFaults = async (changes: Parameters<testKit.TargetProcess['setFaults']>[0]) => {
      await Promise.all(fleet.targets.map(({ target }) => target.setFaults(changes)));
    };
    const refuse = async () => {
      await setFaults({ refuse: true });
      await time.sleep(FAULT_DURATION_MS);
      await setFaults({ refuse: false });
    };
    await expectNotRun('targets refuse', await sendDuring(refuse));
    const fail = async () => {
      await setFaults({ status: 503 });
      await time.sleep(FAULT_DURATION_MS);
      await setFaults({ status: null });
    };
    await expectNotRun('targets answer 503', await sendDuring(fail));
  });

  test('when the log is down and when it loses responses', async () => {
    const outage = async () => {
      await fleet.platform.setFaults({ logOutage: true });
      await time.sleep(FAULT_DURATION_MS);
      await fleet.platform.setFaults({ logOutage: false });
    };
    await expectNotRun('log down', await sendDuring(outage));
    const loseResponses = async () => {
      await fleet.platform.setFaults({ loseAnswersProbability: 0.5, seed: 7 });
      await time.sleep(FAULT_DURATION_MS);
      await fleet.platform.setFaults({ loseAnswersProbability: 0 });
    };
    await expectNotRun('log loses answers', await sendDuring(loseResponses));
  });

  test('when a home is killed', async () => {
    const calls = await sendDuring(async () => {
      await time.sleep(FAULT_DURATION_MS / 3);
      await fleet.vm(1).restart();
    });
    await expectNotRun('home killed', calls);
  });
});
