import * as jestGlobals from '@jest/globals';
import * as coldIntervalMs from './coldIntervalMs.js';
import * as coldFleet from './testing/ColdFleet.js';

const { describe, expect, test } = jestGlobals;

type Fleet = ReturnType<typeof coldFleet.createColdFleet>;

function listAll(fleet: Fleet, coldLeftMs: number): void {
  const listed = fleet.targets.map((target) => coldFleet.list(target, coldLeftMs));
  fleet.vms.forEach(({ cold }) => cold.reset(listed));
}

/** The VMs that may send to any target, by the shares of a full VM list. */
function sharingVms(fleet: Fleet, ratePerSecond: number): number[] {
  const vmNames = fleet.vms.map((_, vm) => `vm-${vm}`);
  return [...fleet.vms.keys()].filter((vm) =>
    fleet.ids.some((targetId) => {
      const query = { vmNames, ownName: `vm-${vm}`, targetId, ratePerSecond };
      return coldIntervalMs.coldIntervalMs(query) !== undefined;
    }),
  );
}

describe('ColdTargetLimiter', () => {
  // Guards against VMs that together crash a target that has just started, and against VMs that
  // never get to use their share.
  test.each([
    { vmCount: 69, targetCount: 34, ratePerSecond: 8 },
    { vmCount: 20, targetCount: 3, ratePerSecond: 39 },
    { vmCount: 69, targetCount: 5, ratePerSecond: 0.5 },
  ])('bursts to cold targets keep the rate in any second (%j)', async (options) => {
    const fleet = coldFleet.createColdFleet(options);
    const { ratePerSecond, targetCount } = options;
    listAll(fleet, 20_000);
    await fleet.play(6, 6);
    expect(fleet.mostPerSecond()).toBeLessThanOrEqual(Math.max(1, ratePerSecond));
    expect(fleet.sends.length).toBeGreaterThan(0.7 * 6 * targetCount * ratePerSecond);
    const senders = [...new Set(fleet.sends.map(({ vm }) => vm))];
    expect(senders.sort((left, right) => left - right)).toEqual(sharingVms(fleet, ratePerSecond));
    fleet.refusals.forEach((fault) => {
      expect(fault).toMatchObject({ kind: 'target-unavailable', run: 'not-run' });
      expect(fault.retryAfterMs).toBeGreaterThan(0);
    });
  });

  // Guards against the load of a whole fleet on a failure domain that returns, whose entries still
  // state that its targets are warm, and against a pace that outlives the cold period.
  test('a pool that returns from an evacuation is paced until it is warm by the own clock', async () => {
    const fleet = coldFleet.createColdFleet({ vmCount: 69, targetCount: 5, ratePerSecond: 20 });
    listAll(fleet, 0);
    fleet.vms.forEach(({ cold }) => cold.markDomain('a', 0));
    await fleet.play(19, 3);
    expect(fleet.mostPerSecond()).toBeLessThanOrEqual(20);
    await fleet.play(2, 3);
    expect(fleet.mostPerSecond()).toBeGreaterThan(40);
  });

  // Guards against VMs with different VM lists that all take themselves for one of the first.
  test.each([2, 20, 100])(
    'VMs whose lists lack different VMs stay in the margin (%d/s)',
    async (rate) => {
      const fleet = coldFleet.createColdFleet({
        vmCount: 69,
        targetCount: 5,
        ratePerSecond: rate,
        isListedFor: (vm, other) => (vm * 31 + other * 17) % 10 > 0,
      });
      listAll(fleet, 20_000);
      await fleet.play(4, 8);
      expect(fleet.mostPerSecond()).toBeLessThanOrEqual(1.5 * rate + 5);
    },
  );

  // Guards against slow responses of cold targets while a warm target is healthy.
  test('cold targets get nothing while one target is warm', async () => {
    const fleet = coldFleet.createColdFleet({ vmCount: 3, targetCount: 4, ratePerSecond: 50 });
    listAll(fleet, 20_000);
    fleet.vms.forEach(({ cold }) => cold.update(coldFleet.list(fleet.targets[2]!, 0)));
    await fleet.play(2, 4);
    expect([...new Set(fleet.sends.map(({ target }) => target))]).toEqual(['target-2']);
  });
});
