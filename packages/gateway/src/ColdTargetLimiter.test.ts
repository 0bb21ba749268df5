import * as jestGlobals from '@jest/globals';
import * as coldIntervalMs from './coldIntervalMs.js';
import * as coldFleet from './testing/ColdFleet.js';

const { describe, expect, jest, test } = jestGlobals;

describe('ColdTargetLimiter', () => {
  // Guards against VMs that together crash a target that has just started, and against VMs that
  // never get to use their share.
  test.each([
    { vmCount: 69, targetCount: 34, ratePerSecond: 8 },
    { vmCount: 20, targetCount: 3, ratePerSecond: 39 },
    { vmCount: 69, targetCount: 5, ratePerSecond: 0.5 },
  ])('bursts to cold targets keep the rate in any second (%j)', async (options) => {
    const { listAll, mostPerSecond, play, refusals, sends, targets, vms } =
      coldFleet.createColdFleet(options);
    const { ratePerSecond, targetCount } = options;
    listAll(20_000);
    await play(6, 6);
    expect(mostPerSecond()).toBeLessThanOrEqual(Math.max(1, ratePerSecond));
    expect(sends.length).toBeGreaterThan(0.7 * 6 * targetCount * ratePerSecond);
    const vmNames = vms.map((_, vm) => `vm-${vm}`);
    const sharing = vmNames.filter((ownName) =>
      targets.some(({ id: targetId }) =>
        coldIntervalMs.coldIntervalMs({ vmNames, ownName, targetId, ratePerSecond }),
      ),
    );
    expect(new Set(sends.map(({ vm }) => `vm-${vm}`))).toEqual(new Set(sharing));
    expect(Math.min(...refusals)).toBeGreaterThan(0);
  });

  // Guards against the load of a whole fleet on a failure domain that returns, whose entries still
  // state that its targets are warm, and against a pace that outlives the cold period.
  test('a pool that returns from an evacuation is paced until it is warm by the own clock', async () => {
    const options = { vmCount: 69, targetCount: 5, ratePerSecond: 20 };
    const { listAll, mostPerSecond, play, vms } = coldFleet.createColdFleet(options);
    listAll(0);
    vms.forEach(({ cold }) => cold.markDomain('a', 0));
    await play(19, 3);
    expect(mostPerSecond()).toBeLessThanOrEqual(20);
    await play(2, 3);
    expect(mostPerSecond()).toBeGreaterThan(40);
  });

  // Guards against VMs with different VM lists that all take themselves for one of the first.
  test.each([2, 20, 100])('VMs with different lists stay in the margin (%d/s)', async (rate) => {
    const { listAll, mostPerSecond, play } = coldFleet.createColdFleet(
      { vmCount: 69, targetCount: 5, ratePerSecond: rate },
      (vm, other) => (vm * 31 + other * 17) % 10 > 0,
    );
    listAll(20_000);
    await play(4, 8);
    expect(mostPerSecond()).toBeLessThanOrEqual(1.5 * rate + 5);
  });

  // Guards against slow responses of cold targets while a warm target is healthy.
  test('cold targets get nothing while one target is warm', async () => {
    const options = { vmCount: 4, targetCount: 4, ratePerSecond: 50 };
    const { listAll, play, sends, targets, vms } = coldFleet.createColdFleet(options);
    listAll(20_000);
    vms.forEach(({ cold }) => cold.update(coldFleet.list(targets[2]!, 0)));
    await play(2, 4);
    expect(new Set(sends.map(({ target }) => target))).toEqual(new Set(['2']));
  });

  // The time was read twice, so that with a real clock a turn at once was granted only by chance,
  // and calls chose again and again without a pause.
  test('a turn is granted at once while the clock moves', async () => {
    const options = { vmCount: 1, targetCount: 1, ratePerSecond: 1 };
    const { listAll, targets, time, vms } = coldFleet.createColdFleet(options);
    listAll(20_000);
    jest.spyOn(time, 'now').mockImplementation(() => {
      time.advance(0.001);
      return time.timeOfDay();
    });
    expect(await vms[0]!.limits.takeTurn(targets[0]!, 0)).toMatchObject({ isGranted: true });
    expect(await vms[0]!.limits.takeTurn(targets[0]!, 0)).toMatchObject({ isGranted: false });
  });

  // Guards against a burst of all turns that were reserved before the process was paused.
  test('VMs that were paused while calls waited keep the rate afterwards', async () => {
    const options = { vmCount: 4, targetCount: 1, ratePerSecond: 40 };
    const { listAll, mostPerSecond, play, refusals, sends, time } =
      coldFleet.createColdFleet(options);
    listAll(20_000);
    await play(0.2, 15);
    time.advance(800);
    await play(2, 0);
    expect(mostPerSecond()).toBeLessThanOrEqual(40);
    expect(sends.some(({ at }) => at > 1_000)).toBe(true);
    expect(sends.every(({ at }) => at <= 1_400)).toBe(true);
    expect(sends.length + refusals.length).toBe(60);
  });

  // A call waited 4 s for a target that was warm after 1 s, or for a later turn than another had.
  test.each([
    { coldLeftMs: 1_000, sentTo: '0', at: 1_000 },
    { coldLeftMs: 3_000, sentTo: '1', at: 2_000 },
  ])('calls wait for the earliest turn or the end of a cold period (%j)', async (expected) => {
    const { listAll, play, sends, targets, time, vms } = coldFleet.createColdFleet({
      vmCount: 1,
      targetCount: 2,
      ratePerSecond: 0.25,
    });
    const [{ call, cold, limits }] = vms as [(typeof vms)[number]];
    listAll(20_000);
    await limits.takeTurn(targets[1]!, 0);
    time.advance(2_000);
    await limits.takeTurn(targets[0]!, 0);
    cold.update(coldFleet.list(targets[0]!, expected.coldLeftMs));
    call(6_000);
    await play(6, 0);
    expect(sends).toEqual([{ target: expected.sentTo, vm: 0, at: 2_000 + expected.at }]);
  });

  // Guards against a burst of waiting calls if a target remains cold for longer than it stated.
  test('calls that wait for the end of a cold period are paced if it moves', async () => {
    const options = { vmCount: 1, targetCount: 1, ratePerSecond: 1 };
    const { listAll, mostPerSecond, play, sends } = coldFleet.createColdFleet(options);
    listAll(900);
    await play(0.1, 5);
    listAll(20_000);
    await play(2, 0);
    expect(sends.length).toBeGreaterThan(1);
    expect(mostPerSecond()).toBe(1);
  });

  // Calls were refused because the targets that were asked for a turn were those without a share.
  test('targets without a share do not hide one with a share', async () => {
    const options = { vmCount: 12, targetCount: 5, ratePerSecond: 1 };
    const { listAll, play, refusals, sends, targets, vms } = coldFleet.createColdFleet(options);
    listAll(900);
    const vm = vms.findIndex(({ limits }) => sharesOf(limits).length === 1);
    const { call, cold, limits } = vms[vm]!;
    const [shared] = sharesOf(limits);
    cold.update(coldFleet.list(shared!, 20_000));
    call();
    call();
    await play(2, 0);
    expect(refusals).toEqual([]);
    expect(sends).toEqual([0, 1_000].map((at) => ({ target: shared!.id, vm, at })));

    function sharesOf(limiter: typeof limits): typeof targets {
      return targets.filter((target) => limiter.exhaustedUntil(target) <= 0);
    }
  });
});
