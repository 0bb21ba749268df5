import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { MODEL_ROUTE, SERVICE_ROUTE } = testKit.FLEET_NAMES;

const STEADY = { ratePerSecond: 20, burst: 10 };
/** A new owner that began with a full bucket would exceed this burst by almost all of it. */
const BURSTING = { ratePerSecond: 5, burst: 60 };
const EDITED = { ratePerSecond: 5, burst: 10 };
const REQUESTS_PER_SECOND = 60;
const CALM_SPAN_MS = 3_000;
const FAULT_SPAN_MS = 6_500;
const FAULT_AFTER_MS = 1_500;
const FAULT_LASTS_MS = 3_500;
/** How long requests are sent after a fault, however long its end took. */
const AFTER_FAULT_MS = FAULT_SPAN_MS - FAULT_AFTER_MS - FAULT_LASTS_MS;

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

type Fault = (holders: fleetViews.Holders) => Promise<void>;

/** One request, by the clock of the test. */
interface Sending {
  readonly sentAt: clock.Milliseconds;
  readonly answeredAt: clock.Milliseconds;
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
  await fleetViews.untilPaired(fleet);
});

afterEach(() => fleetViews.untilPaired(fleet));

afterAll(() => fleet.dispose());

/**
 * Sends requests of a workspace at a steady pace through the VMs in turn, for a span, and on while
 * something else is not over.
 */
async function hammer(
  workspace: string,
  vms: readonly testKit.FleetVm[],
  spanMs: clock.Milliseconds,
  isOver = () => true,
): Promise<readonly Sending[]> {
  const caller = new testKit.Caller(`key-of-${workspace}`, MODEL_ROUTE);
  const pick = fleetViews.pickInTurn(vms);
  const count = (spanMs / 1_000) * REQUESTS_PER_SECOND;
  const startedAt = time.now();
  const sendings: Promise<Sending>[] = [];
  while (sendings.length < count || !isOver()) {
    sendings.push(send(caller, pick()));
    const nextAt = startedAt + (sendings.length / REQUESTS_PER_SECOND) * 1_000;
    await time.sleep(Math.max(0, nextAt - time.now()));
  }
  return Promise.all(sendings);
}

async function send(caller: testKit.Caller, vm: testKit.FleetVm): Promise<Sending> {
  const sentAt = time.now();
  const answer = await caller.service(vm, { route: SERVICE_ROUTE, body: '{}' });
  return { sentAt, answeredAt: time.now(), isAdmitted: answer.status === 200 };
}

/**
 * How many admissions too many the worst window holds. A window runs from the sending of one
 * request to the answer of another, so all that it counts was granted within it.
 */
function worstExcess(sendings: readonly Sending[], limit: Limit): number {
  const admitted = sendings.filter((sending) => sending.isAdmitted);
  const excesses = admitted.flatMap((first) =>
    admitted.map((last) => {
      const { sentAt } = first;
      const { answeredAt } = last;
      if (answeredAt < sentAt) return -Infinity;
      const count = admitted.filter((one) => one.sentAt >= sentAt && one.answeredAt <= answeredAt);
      return count.length - limit.burst - (limit.ratePerSecond * (answeredAt - sentAt)) / 1_000;
    }),
  );
  return excesses.reduce((worst, excess) => Math.max(worst, excess), -Infinity);
}

/** How many of the requests one whole bucket would have admitted. */
function idealCount(sendings: readonly Sending[], limit: Limit): number {
  let level = limit.burst;
  let count = 0;
  let [last] = sendings.map((sending) => sending.sentAt);
  [...sendings]
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

/** Prints the refusals within rate and returns how many requests were admitted. */
function compare(what: WorkspaceName, sendings: readonly Sending[]): number {
  const limit = WORKSPACES[what];
  const admitted = sendings.filter((sending) => sending.isAdmitted).length;
  const ideal = idealCount(sendings, limit);
  process.stdout.write(
    `limits: ${what}: sent ${sendings.length}, admitted ${admitted}, an ideal bucket ${ideal}, ` +
      `worst excess ${worstExcess(sendings, limit).toFixed(1)}\n`,
  );
  return admitted;
}

/** Lets a fault come and go, and a moment pass after it. Returns when it had gone. */
async function bringAbout(fault: Fault, holders: fleetViews.Holders): Promise<clock.Milliseconds> {
  await time.sleep(FAULT_AFTER_MS);
  await fault(holders);
  const endedAt = time.now();
  // A process that starts beside load takes long, and only requests after it show that it serves.
  await time.sleep(AFTER_FAULT_MS);
  return endedAt;
}

/** Hammers while a fault comes and goes, then checks all windows. */
async function expectWithin(workspace: WorkspaceName, fault: Fault): Promise<void> {
  const holders = await fleetViews.holdersOf(fleet, `workspace:${workspace}`);
  let isOver = false;
  // Also through the VMs that the fault hits, which may believe that they still own the bucket.
  const [sendings, faultEndedAt] = await Promise.all([
    hammer(workspace, fleet.vms, FAULT_SPAN_MS, () => isOver),
    bringAbout(fault, holders).finally(() => {
      isOver = true;
    }),
  ]);
  compare(workspace, sendings);
  expect(worstExcess(sendings, WORKSPACES[workspace])).toBeLessThanOrEqual(0);
  const later = sendings.filter((sending) => sending.answeredAt > faultEndedAt);
  expect(later.some((sending) => sending.isAdmitted)).toBe(true);
}

describe('no workspace gets more than its rate and burst over all VMs', () => {
  test('in calm, through one VM and through all', async () => {
    const [skewed, spread] = await Promise.all([
      hammer('skewed', [fleet.vm(0)], CALM_SPAN_MS),
      hammer('spread', fleet.vms, CALM_SPAN_MS),
    ]);
    const admitted = [compare('skewed', skewed), compare('spread', spread)];
    expect(worstExcess(skewed, STEADY)).toBeLessThanOrEqual(0);
    expect(worstExcess(spread, STEADY)).toBeLessThanOrEqual(0);
    const ideal = [idealCount(skewed, STEADY), idealCount(spread, STEADY)];
    admitted.forEach((count, index) => {
      expect(count).toBeGreaterThanOrEqual((ideal[index] ?? 0) * 0.9);
    });
  });

  test('while the owner of its bucket is killed and started again', () =>
    expectWithin('killed', async ({ owner }) => {
      await fleetViews.killVm(owner);
      await time.sleep(FAULT_LASTS_MS);
      await owner.start();
    }));

  test('while the owner of its bucket is paused and wakes after the takeover', () =>
    expectWithin('paused', async ({ owner }) => {
      owner.process.pause();
      await time.sleep(FAULT_LASTS_MS);
      owner.process.resume();
    }));

  test('while owner and standby are cut off from each other', () =>
    expectWithin('cut', async ({ owner, standby }) => {
      await Promise.all([owner.peersProxy.cut(), standby.peersProxy.cut()]);
      await time.sleep(FAULT_LASTS_MS);
      await Promise.all([owner.peersProxy.restore(), standby.peersProxy.restore()]);
    }));

  test('while no VM reaches another and the owner of its bucket not even the log', () =>
    expectWithin('alone', async ({ owner }) => {
      const proxies = [...fleet.vms.map((vm) => vm.peersProxy), owner.platformProxy];
      await Promise.all(proxies.map((proxy) => proxy.cut()));
      await time.sleep(FAULT_LASTS_MS);
      await Promise.all(proxies.map((proxy) => proxy.restore()));
    }));

  // This one is late because buckets begin empty after it, which would hide the excess of others.
  test('while owner and standby are killed together and started again', () =>
    expectWithin('pair', async ({ owner, standby }) => {
      await Promise.all([fleetViews.killVm(owner), fleetViews.killVm(standby)]);
      await time.sleep(FAULT_LASTS_MS / 2);
      await Promise.all([owner.start(), standby.start()]);
    }));

  test('after its rate has been lowered', async () => {
    await hammer('edited', fleet.vms, CALM_SPAN_MS / 2);
    await fleet.publish({
      kind: configuration.CHANGE_KINDS.PUT_WORKSPACE,
      workspace: { name: 'edited', ...EDITED },
    });
    // The requests of this span bring the new rate into force at each VM.
    await hammer('edited', fleet.vms, CALM_SPAN_MS / 2);
    const after = await hammer('edited', fleet.vms, CALM_SPAN_MS);
    expect(worstExcess(after, EDITED)).toBeLessThanOrEqual(0);
    expect(after.some((sending) => sending.isAdmitted)).toBe(true);
  });
});
