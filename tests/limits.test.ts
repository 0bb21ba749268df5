import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const STEADY = { ratePerSecond: 20, burst: 10 };
/** A new owner that started with a full bucket would exceed the limit by almost the whole burst. */
const BURSTING = { ratePerSecond: 5, burst: 60 };
const EDITED = { ratePerSecond: 5, burst: 10 };
const REQUESTS_PER_SECOND = 60;
const CALM_DURATION_MS = 3_000;
const FAULT_TEST_DURATION_MS = 6_500;
const FAULT_DELAY_MS = 1_500;
const FAULT_DURATION_MS = 3_500;
/** Duration for which requests are sent after a fault, regardless of how long the fault took. */
const RECOVERY_DURATION_MS = FAULT_TEST_DURATION_MS - FAULT_DELAY_MS - FAULT_DURATION_MS;

const WORKSPACES = {
  skewed: STEADY,
  spread: STEADY,
  killed: BURSTING,
  paused: BURSTING,
  pair: BURSTING,
  cut: BURSTING,
  alone: BURSTING,
  edited: STEADY,
};

const time = new clock.SystemClock();
let fleet: testKit.Fleet;

type Limit = typeof STEADY;

type WorkspaceName = keyof typeof WORKSPACES;

type Fault = (holders: fleetHelpers.ShardHolders) => Promise<void>;

/** Times of a request by the clock of the test, and its outcome. */
interface SentRequest {
  readonly sentAt: clock.Milliseconds;
  readonly respondedAt: clock.Milliseconds;
  readonly isAdmitted: boolean;
}

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 4,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco', 'quito-sur'],
    services: 2,
    proxies: { peers: true, platform: true },
    settings: { journal: { shardCount: 6 } },
    tables: (targets) => ({
      ...testKit.defaultTables(targets),
      workspaces: Object.entries(WORKSPACES).map(([name, limit]) => ({ name, ...limit })),
    }),
    keys: Object.fromEntries(Object.keys(WORKSPACES).map((name) => [name, [`key-of-${name}`]])),
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterEach(() => fleetHelpers.untilStandbysReady(fleet));

afterAll(() => fleet.dispose());

/**
 * Sends requests of a workspace at a constant rate through the VMs in turn, for at least a duration
 * and until `isFaultOver` returns true.
 */
async function sendAtSteadyRate(
  workspace: string,
  vms: readonly testKit.FleetVm[],
  durationMs: clock.Milliseconds,
  isFaultOver = () => true,
): Promise<readonly SentRequest[]> {
  const caller = new testKit.Caller(`key-of-${workspace}`, MODEL_ROUTE);
  const pick = fleetHelpers.createRoundRobinPicker(vms);
  const count = (durationMs / 1_000) * REQUESTS_PER_SECOND;
  const startedAt = time.now();
  const requests: Promise<SentRequest>[] = [];
  while (requests.length < count || !isFaultOver()) {
    requests.push(send(caller, pick()));
    const nextAt = startedAt + (requests.length / REQUESTS_PER_SECOND) * 1_000;
    await time.sleep(Math.max(0, nextAt - time.now()));
  }
  return Promise.all(requests);
}

async function send(caller: testKit.Caller, vm: testKit.FleetVm): Promise<SentRequest> {
  const sentAt = time.now();
  const response = await caller.service(vm, { route: SERVICE_ROUTE, body: '{}' });
  return { sentAt, respondedAt: time.now(), isAdmitted: response.status === 200 };
}

/**
 * Returns the excess of admissions over rate and burst in the worst window. A window extends from
 * the time one request was sent to the time another was answered, so every request that lies within
 * it was also admitted within it.
 */
function worstExcess(requests: readonly SentRequest[], limit: Limit): number {
  const admitted = requests.filter((request) => request.isAdmitted);
  const excesses = admitted.flatMap((first) =>
    admitted.map((last) => {
      const { sentAt } = first;
      const { respondedAt } = last;
      if (respondedAt < sentAt) return -Infinity;
      const count = admitted.filter(
        (candidate) => candidate.sentAt >= sentAt && candidate.respondedAt <= respondedAt,
      );
      return count.length - limit.burst - (limit.ratePerSecond * (respondedAt - sentAt)) / 1_000;
    }),
  );
  return excesses.reduce((worst, excess) => Math.max(worst, excess), -Infinity);
}

/** Returns how many of the requests a single token bucket would have admitted. */
function idealCount(requests: readonly SentRequest[], limit: Limit): number {
  let level = limit.burst;
  let count = 0;
  let [last] = requests.map((request) => request.sentAt);
  [...requests]
    .sort((left, right) => left.sentAt - right.sentAt)
    .forEach(({ sentAt }) => {
      const since = (sentAt - (last ?? sentAt)) / 1_000;
      level = Math.min(limit.burst, level + since * limit.ratePerSecond);
      last = sentAt;
      if (level < 1) return;
      level -= 1;
      count += 1;
    });
  return count;
}

/** Prints the admissions next to those of an ideal bucket. Returns the number of admissions. */
function reportAdmissions(what: WorkspaceName, requests: readonly SentRequest[]): number {
  const limit = WORKSPACES[what];
  const admitted = requests.filter((request) => request.isAdmitted).length;
  const ideal = idealCount(requests, limit);
  process.stdout.write(
    `limits: ${what}: sent ${requests.length}, admitted ${admitted}, an ideal bucket ${ideal}, ` +
      `worst excess ${worstExcess(requests, limit).toFixed(1)}\n`,
  );
  return admitted;
}

/** Runs a fault, waits for a while after it and returns the time at which the fault ended. */
async function runFault(
  fault: Fault,
  holders: fleetHelpers.ShardHolders,
): Promise<clock.Milliseconds> {
  await time.sleep(FAULT_DELAY_MS);
  await fault(holders);
  const endedAt = time.now();
  // A process starts slowly under load, and only requests sent after its start show that it serves.
  await time.sleep(RECOVERY_DURATION_MS);
  return endedAt;
}

/** Sends requests before, during and after a fault and checks the limit in all windows. */
async function expectWithinLimit(workspace: WorkspaceName, fault: Fault): Promise<void> {
  const holders = await fleetHelpers.holdersOf(fleet, `workspace:${workspace}`);
  let isFaultOver = false;
  // Affected VMs receive requests too, because they may still act as owner of the bucket.
  const [requests, faultEndedAt] = await Promise.all([
    sendAtSteadyRate(workspace, fleet.vms, FAULT_TEST_DURATION_MS, () => isFaultOver),
    runFault(fault, holders).finally(() => {
      isFaultOver = true;
    }),
  ]);
  reportAdmissions(workspace, requests);
  expect(worstExcess(requests, WORKSPACES[workspace])).toBeLessThanOrEqual(0);
  const later = requests.filter((request) => request.respondedAt > faultEndedAt);
  expect(later.some((request) => request.isAdmitted)).toBe(true);
}

describe('no workspace gets more than its rate and burst over all VMs', () => {
  test('without faults, through one VM and through all', async () => {
    const [skewed, spread] = await Promise.all([
      sendAtSteadyRate('skewed', [fleet.vm(0)], CALM_DURATION_MS),
      sendAtSteadyRate('spread', fleet.vms, CALM_DURATION_MS),
    ]);
    const admitted = [reportAdmissions('skewed', skewed), reportAdmissions('spread', spread)];
    expect(worstExcess(skewed, STEADY)).toBeLessThanOrEqual(0);
    expect(worstExcess(spread, STEADY)).toBeLessThanOrEqual(0);
    const ideal = [idealCount(skewed, STEADY), idealCount(spread, STEADY)];
    admitted.forEach((count, index) => {
      expect(count).toBeGreaterThanOrEqual((ideal[index] ?? 0) * 0.9);
    });
  });

  test('while the owner of its bucket is killed and restarted', () =>
    expectWithinLimit('killed', async ({ owner }) => {
      await fleetHelpers.killVm(owner);
      await time.sleep(FAULT_DURATION_MS);
      await owner.start();
    }));

  test('while the owner of its bucket is paused and resumes after the takeover', () =>
    expectWithinLimit('paused', async ({ owner }) => {
      owner.process.pause();
      await time.sleep(FAULT_DURATION_MS);
      owner.process.resume();
    }));

  test('while owner and standby are cut off from each other', () =>
    expectWithinLimit('cut', async ({ owner, standby }) => {
      await Promise.all([owner.peersProxy.cut(), standby.peersProxy.cut()]);
      await time.sleep(FAULT_DURATION_MS);
      await Promise.all([owner.peersProxy.restore(), standby.peersProxy.restore()]);
    }));

  test('while no VM reaches another and the owner of its bucket also cannot reach the log', () =>
    expectWithinLimit('alone', async ({ owner }) => {
      const proxies = [...fleet.vms.map((vm) => vm.peersProxy), owner.platformProxy];
      await Promise.all(proxies.map((proxy) => proxy.cut()));
      await time.sleep(FAULT_DURATION_MS);
      await Promise.all(proxies.map((proxy) => proxy.restore()));
    }));

  // Runs after the other faults: buckets start empty after it, which would hide their excess.
  test('while owner and standby are killed together and restarted', () =>
    expectWithinLimit('pair', async ({ owner, standby }) => {
      await Promise.all([fleetHelpers.killVm(owner), fleetHelpers.killVm(standby)]);
      await time.sleep(FAULT_DURATION_MS / 2);
      await Promise.all([owner.start(), standby.start()]);
    }));

  test('after its rate has been lowered', async () => {
    await sendAtSteadyRate('edited', fleet.vms, CALM_DURATION_MS / 2);
    await fleet.publish({
      kind: configuration.CHANGE_KINDS.PUT_WORKSPACE,
      workspace: { name: 'edited', ...EDITED },
    });
    // These requests make the new rate take effect on each VM.
    await sendAtSteadyRate('edited', fleet.vms, CALM_DURATION_MS / 2);
    const after = await sendAtSteadyRate('edited', fleet.vms, CALM_DURATION_MS);
    expect(worstExcess(after, EDITED)).toBeLessThanOrEqual(0);
    expect(after.some((request) => request.isAdmitted)).toBe(true);
  });
});
