import * as jestGlobals from '@jest/globals';
import * as limitedFleet from './testing/LimitedFleet.js';

const { describe, expect, test } = jestGlobals;

const RATE = 5;

const LIMITED = new Map([['one', RATE]]);

const ALL_LIMITED = new Map(['one', 'two', 'three'].map((id) => [id, RATE]));

/** A target is given up to this many requests in four seconds once its limit is known. */
const ALLOWED = 1.5 * 4 * RATE + 5;

describe('TargetLimits', () => {
  // Guards against a limit that each VM keeps by itself or ignores: a target that named five
  // requests a second got 80 in four seconds.
  test('all VMs together keep the limit of a target, and others take the rest', async () => {
    const fleet = limitedFleet.createLimitedFleet(20);
    await fleet.play({ seconds: 2, callsPerSecond: 60 });
    fleet.limits = LIMITED;
    await fleet.play({ seconds: 12, callsPerSecond: 60 });
    expect(fleet.mostInFourSeconds('one', 5_000)).toBeLessThanOrEqual(ALLOWED);
    expect(fleet.mostInFourSeconds('one', 5_000)).toBeGreaterThanOrEqual(3 * RATE);
    expect(fleet.served).toBe(14 * 60);
    expect(fleet.refusals).toHaveLength(0);
  });

  // Guards against a VM that goes on with a limit that only other VMs have seen end.
  test('all VMs use a target fully again when it names its limit no longer', async () => {
    const fleet = limitedFleet.createLimitedFleet(20);
    fleet.limits = LIMITED;
    await fleet.play({ seconds: 4, callsPerSecond: 60 });
    fleet.limits = new Map();
    await fleet.play({ seconds: 6, callsPerSecond: 60 });
    expect(fleet.countLimiting('one')).toBe(0);
    expect(fleet.mostInFourSeconds('one', 6_000)).toBeGreaterThan(1.5 * ALLOWED);
  });

  // Guards against a second allowance whenever the owner of a limit is replaced.
  test('the limit holds while its owner is replaced', async () => {
    const fleet = limitedFleet.createLimitedFleet(20);
    fleet.limits = LIMITED;
    await fleet.play({ seconds: 5, callsPerSecond: 60 });
    fleet.removeOwner('one');
    await fleet.play({ seconds: 5, callsPerSecond: 60 });
    expect(fleet.mostInFourSeconds('one', 3_000)).toBeLessThanOrEqual(ALLOWED);
    expect(fleet.refusals).toHaveLength(0);
  });

  // Guards against two owners, each of which grants the whole limit, while a VM joins.
  test('the limit holds while VMs learn of a new owner one after the other', async () => {
    const fleet = limitedFleet.createLimitedFleet(20);
    fleet.limits = LIMITED;
    fleet.hideOwner('one', 20);
    await fleet.play({ seconds: 5, callsPerSecond: 240 });
    for (let hidden = 16; hidden >= 0; hidden -= 4) {
      fleet.hideOwner('one', hidden);
      await fleet.play({ seconds: 0.5, callsPerSecond: 240 });
    }
    await fleet.play({ seconds: 4, callsPerSecond: 240 });
    expect(fleet.mostInFourSeconds('one', 3_000)).toBeLessThanOrEqual(ALLOWED);
    expect(fleet.mostInFourSeconds('one', 7_000)).toBeGreaterThanOrEqual(3 * RATE);
  });

  // Guards against VMs that take the whole limit each while they cannot reach its owner.
  test('the limit holds while its owner is unreachable', async () => {
    const fleet = limitedFleet.createLimitedFleet(100);
    fleet.limits = LIMITED;
    await fleet.play({ seconds: 3, callsPerSecond: 60 });
    fleet.isOwnerUnreachable = true;
    await fleet.play({ seconds: 8, callsPerSecond: 60 });
    expect(fleet.mostInFourSeconds('one', 3_000)).toBeLessThanOrEqual(ALLOWED);
    expect(fleet.served).toBe(11 * 60);
  });

  // Guards against the shares of many VMs that come due at the same moment.
  test('the limit holds while its owner is unreachable for longer than the interval of a share', async () => {
    const fleet = limitedFleet.createLimitedFleet(61);
    fleet.limits = ALL_LIMITED;
    await fleet.play({ seconds: 3, callsPerSecond: 120 });
    fleet.isOwnerUnreachable = true;
    await fleet.play({ seconds: 30, callsPerSecond: 120 });
    expect(fleet.mostInFourSeconds('one', 3_000)).toBeLessThanOrEqual(ALLOWED);
    expect(fleet.mostInFourSeconds('one', 27_000)).toBeGreaterThanOrEqual(2 * RATE);
  });

  // Guards against calls that wait for a turn in vain, and against a retry delay that is too short.
  test('calls for which no target has a turn in time are refused at once', async () => {
    const fleet = limitedFleet.createLimitedFleet(20);
    fleet.limits = ALL_LIMITED;
    await fleet.play({ seconds: 10, callsPerSecond: 60 });
    ['one', 'two', 'three'].forEach((id) =>
      expect(fleet.mostInFourSeconds(id, 3_000)).toBeLessThanOrEqual(ALLOWED),
    );
    expect(fleet.served).toBeGreaterThan(0.8 * 10 * 3 * RATE);
    expect(fleet.refusals.length).toBeGreaterThan(0);
    fleet.refusals.forEach(({ fault, spanMs }) => {
      expect(fault).toMatchObject({ kind: 'target-unavailable', run: 'not-run' });
      expect(fault.retryAfterMs).toBeGreaterThan(0);
      expect(spanMs).toBeLessThan(100);
    });
  });

  // Guards against messages about targets that have no limit.
  test('targets without a limit cost no messages', async () => {
    const fleet = limitedFleet.createLimitedFleet(20);
    await fleet.play({ seconds: 2, callsPerSecond: 60 });
    expect(fleet.messages).toBe(0);
    expect(fleet.served).toBe(120);
  });

  // Guards against a limit that outlives the process that named it.
  test('a replaced process starts without the limit of the former one', async () => {
    const fleet = limitedFleet.createLimitedFleet(3);
    fleet.limits = LIMITED;
    await fleet.play({ seconds: 2, callsPerSecond: 60 });
    expect(fleet.countLimiting('one')).toBe(3);
    fleet.replaceProcess('one');
    expect(fleet.countLimiting('one')).toBe(0);
  });
});
