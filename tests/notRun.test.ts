import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { ACTION_ROUTE, KEY, MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const CALLS = 60;
const BETWEEN_CALLS_MS = 15;
const CALL_DEADLINE_MS = 6_000;
const RESETS = 20;
const BETWEEN_RESETS_MS = 50;
const FAULT_LASTS_MS = 1_500;
const BROKEN_ANSWER_BYTES = 500;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
let fleet: testKit.Fleet;
let sent = 0;

/** A call and what its caller was told. */
interface ToldCall {
  /** Stands in the body, so that it can be found in the journals of the targets. */
  readonly text: string;
  readonly answer: testKit.CallerAnswer;
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
  await fleetViews.untilPaired(fleet);
});

afterEach(() => fleetViews.untilPaired(fleet));

afterAll(() => fleet.dispose());

/** Makes calls of the three kinds in turn, in short steps, through all VMs. */
function sendCalls(): Promise<readonly ToldCall[]> {
  const pick = fleetViews.pickInTurn(fleet.vms);
  return Promise.all(
    Array.from({ length: CALLS }, async (_, index) => {
      await time.sleep(index * BETWEEN_CALLS_MS);
      sent += 1;
      const text = `call-${sent}-of-not-run`;
      return { text, answer: await sendCall(index % 3, pick(), text) };
    }),
  );
}

function sendCall(kind: number, vm: testKit.FleetVm, text: string): Promise<testKit.CallerAnswer> {
  const deadlineMs = CALL_DEADLINE_MS;
  if (kind === 0) return caller.chat(vm, { text, deadlineMs });
  const body = JSON.stringify({ text });
  if (kind === 1) return caller.service(vm, { route: SERVICE_ROUTE, body, deadlineMs });
  return caller.service(vm, { route: ACTION_ROUTE, idempotencyKey: text, body, deadlineMs });
}

function isNotRun(call: ToldCall): boolean {
  return call.answer.status >= 400 && testKit.refusalOf(call.answer).run === 'not-run';
}

/** Checks that no call that was refused as not run stands in the journal of a target. */
async function expectTrue(what: string, calls: readonly ToldCall[]): Promise<void> {
  const journals = await Promise.all(fleet.targets.map(({ target }) => target.journal()));
  const bodies = journals.flat().map((entry) => entry.body);
  const refused = calls.filter(isNotRun);
  const untrue = refused.filter(({ text }) => bodies.some((body) => body.includes(text)));
  const answered = calls.filter(({ answer }) => answer.status === 200).length;
  process.stdout.write(
    `not run: ${what}: calls ${calls.length}, answered ${answered}, not run ${refused.length}\n`,
  );
  expect(untrue.map(({ text, answer }) => `${text}: ${answer.text}`)).toEqual([]);
}

/** Sends calls while a fault works. */
async function sendDuring(fault: () => Promise<void>): Promise<readonly ToldCall[]> {
  const [calls] = await Promise.all([sendCalls(), fault()]);
  return calls;
}

/** Resets the connections of proxies again and again. */
async function resetOften(proxies: readonly testKit.FaultProxy[]): Promise<void> {
  for (let count = 0; count < RESETS; count += 1) {
    proxies.forEach((proxy) => proxy.resetConnections());
    await time.sleep(BETWEEN_RESETS_MS);
  }
}

/** Cuts proxies off for a while. */
async function cutFor(proxies: readonly testKit.FaultProxy[]): Promise<void> {
  await Promise.all(proxies.map((proxy) => proxy.cut()));
  await time.sleep(FAULT_LASTS_MS);
  await Promise.all(proxies.map((proxy) => proxy.restore()));
}

describe('a refusal that says "not run" is true', () => {
  test('when the links between entry and home are reset and cut', async () => {
    const proxies = fleet.vms.map((vm) => vm.peersProxy);
    await expectTrue('peers reset', await sendDuring(() => resetOften(proxies)));
    await expectTrue('peers cut', await sendDuring(() => cutFor(proxies)));
  });

  test('when the links between home and targets are reset, cut and break off answers', async () => {
    const proxies = fleet.targets.map((target) => target.proxy);
    await expectTrue('targets reset', await sendDuring(() => resetOften(proxies)));
    await expectTrue('targets cut', await sendDuring(() => cutFor(proxies)));
    const truncate = async () =>
      proxies.forEach((proxy) => proxy.truncateAfter(BROKEN_ANSWER_BYTES));
    await expectTrue('answers broken off', await sendDuring(truncate));
    await Promise.all(proxies.map((proxy) => proxy.restore()));
  });

  test('when targets refuse connections and answer with errors', async () => {
    const setFaults = async (changes: Parameters<testKit.TargetProcess['setFaults']>[0]) => {
      await Promise.all(fleet.targets.map(({ target }) => target.setFaults(changes)));
    };
    const refuse = async () => {
      await setFaults({ refuse: true });
      await time.sleep(FAULT_LASTS_MS);
      await setFaults({ refuse: false });
    };
    await expectTrue('targets refuse', await sendDuring(refuse));
    const fail = async () => {
      await setFaults({ status: 503 });
      await time.sleep(FAULT_LASTS_MS);
      await setFaults({ status: null });
    };
    await expectTrue('targets answer 503', await sendDuring(fail));
  });

  test('when the log is down and when it loses answers', async () => {
    const outage = async () => {
      await fleet.platform.setFaults({ logOutage: true });
      await time.sleep(FAULT_LASTS_MS);
      await fleet.platform.setFaults({ logOutage: false });
    };
    await expectTrue('log down', await sendDuring(outage));
    const lose = async () => {
      await fleet.platform.setFaults({ loseAnswersProbability: 0.5, seed: 7 });
      await time.sleep(FAULT_LASTS_MS);
      await fleet.platform.setFaults({ loseAnswersProbability: 0 });
    };
    await expectTrue('log loses answers', await sendDuring(lose));
  });

  test('when a home is killed', async () => {
    const calls = await sendDuring(async () => {
      await time.sleep(FAULT_LASTS_MS / 3);
      await fleet.vm(1).restart();
    });
    await expectTrue('home killed', calls);
  });
});
