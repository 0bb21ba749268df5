import * as jestGlobals from '@jest/globals';
import type * as errors from '@limpettack/errors';
import * as fakeFleet from './testing/FakeFleet.js';

const { describe, expect, test } = jestGlobals;

const LIMIT = { ratePerSecond: 10, burst: 5 };

interface Outcome {
  granted?: boolean;
  fault?: errors.Fault;
}

/** Requests admission. The returned object is filled in when the result arrives. */
function sendRequest(
  fleet: fakeFleet.FakeFleet,
  vm: number,
  id: string,
  timeoutMs = 5_000,
): Outcome {
  const outcome: Outcome = {};
  const request = { requestId: id, workspace: fakeFleet.WORKSPACE, timeoutMs };
  fleet.processes[vm]!.admission.admit(request)
    .then((result) => {
      if (result.isOk) outcome.granted = true;
      else Object.assign(outcome, { granted: false, fault: result.error });
    })
    .catch(() => undefined);
  return outcome;
}

function sendRequests(
  fleet: fakeFleet.FakeFleet,
  vm: number,
  prefix: string,
  count: number,
): Outcome[] {
  return Array.from({ length: count }, (unused, index) =>
    sendRequest(fleet, vm, `${prefix}-${index}`),
  );
}

function countGranted(outcomes: readonly Outcome[]): number {
  return outcomes.filter((outcome) => outcome.granted).length;
}

/** Creates a fleet whose first VM owns the shard and whose second VM is its standby. */
async function createFleet(size = 4): Promise<fakeFleet.FakeFleet> {
  const fleet = new fakeFleet.FakeFleet(size, LIMIT);
  fleet.claimAndRead(0, 1);
  await fleet.run(5);
  return fleet;
}

describe('FleetAdmission', () => {
  test('admits a burst from several VMs and reports when the next token is available', async () => {
    const fleet = await createFleet();
    const outcomes = [
      ...sendRequests(fleet, 2, 'first', 3),
      ...sendRequests(fleet, 3, 'second', 3),
    ];
    await fleet.run(10);
    expect(countGranted(outcomes)).toBe(5);
    const { fault } = outcomes.find((outcome) => outcome.granted === false)!;
    expect(fault).toMatchObject({ kind: 'rate-limited', run: 'not-run' });
    const early = sendRequest(fleet, 2, 'early');
    await fleet.run(10);
    expect(early.granted).toBe(false);
    await fleet.run(fault!.retryAfterMs - 10);
    const late = sendRequest(fleet, 2, 'late');
    await fleet.run(10);
    expect(late.granted).toBe(true);
  });

  test('returns the same result for a repeated request and takes no second token', async () => {
    const fleet = await createFleet();
    const outcomes = [...sendRequests(fleet, 2, 'same', 1), ...sendRequests(fleet, 3, 'same', 1)];
    await fleet.run(10);
    expect(countGranted(outcomes)).toBe(2);
    expect(fleet.grants).toHaveLength(1);
  });

  test('applies an edited limit without applying the new rate to elapsed time', async () => {
    const fleet = await createFleet();
    sendRequests(fleet, 2, 'drain', 5);
    await fleet.run(10);
    fleet.setLimit({ ratePerSecond: 1_000, burst: 50 });
    const raised = sendRequests(fleet, 2, 'raised', 50);
    await fleet.run(5);
    expect(countGranted(raised)).toBeLessThan(10);
    await fleet.run(100);
    fleet.setLimit({ ratePerSecond: 1, burst: 2 });
    const lowered = sendRequests(fleet, 2, 'lowered', 50);
    await fleet.run(10);
    expect(countGranted(lowered)).toBeLessThanOrEqual(2);
  });

  test('lets requests wait for a takeover and reserves the tokens of the old owner', async () => {
    const fleet = await createFleet();
    sendRequests(fleet, 0, 'before', 1);
    await fleet.run(10);
    fleet.pause(0);
    const waiting = sendRequests(fleet, 2, 'waiting', 1);
    await fleet.run(200);
    expect(waiting[0]!.granted).toBeUndefined();
    fleet.claimAndRead(1, 2);
    await fleet.run(100);
    expect(waiting[0]!.granted).toBe(true);
    await fleet.run(1_000);
    const held = sendRequests(fleet, 2, 'held', 5);
    await fleet.run(30);
    // Two tokens were authorized. The standby does not know that one of them was granted.
    expect(countGranted(held)).toBe(3);
    // The old owner acknowledges the new epoch, so the whole burst is available again.
    fleet.resume(0);
    await fleet.run(1_500);
    const whole = sendRequests(fleet, 2, 'whole', 5);
    await fleet.run(10);
    expect(countGranted(whole)).toBe(5);
  });

  test('a third VM grants nothing until the owner and the standby have ended, and then starts empty', async () => {
    const fleet = await createFleet();
    fleet.kill(0);
    fleet.kill(1);
    fleet.claimAndRead(2, 3);
    fleet.dropFromList(0);
    const outcomes = sendRequests(fleet, 3, 'waiting', 5);
    await fleet.run(1_000);
    expect(countGranted(outcomes)).toBe(0);
    const provedAt = fleet.now;
    fleet.dropFromList(1);
    await fleet.run(2_000);
    expect(countGranted(outcomes)).toBe(5);
    expect(Math.min(...fleet.grants) - provedAt).toBeGreaterThanOrEqual(100);
    expect(Math.max(...fleet.grants) - provedAt).toBeGreaterThanOrEqual(500);
  });

  test('gives no token to requests that expire before it is available', async () => {
    const fleet = await createFleet();
    fleet.kill(0);
    fleet.kill(1);
    fleet.claimAndRead(2, 3);
    const outcomes: Outcome[] = [];
    for (let count = 0; count < 50; count += 1) {
      outcomes.push(sendRequest(fleet, 3, `waiting-${count}`));
      await fleet.run(100, 5);
    }
    // The first request has 100 ms left, the second 200 ms. A token accrues every 100 ms.
    fleet.dropFromList(0);
    fleet.dropFromList(1);
    await fleet.run(3_000, 5);
    // The tokens of two seconds, which is the maximum time that a request may wait for its token.
    expect(countGranted(outcomes)).toBe(20);
    expect(fleet.grants).toHaveLength(20);
  });

  test('keeps requests waiting when the new owner renews its claim', async () => {
    const fleet = await createFleet();
    sendRequests(fleet, 2, 'drain', 5);
    await fleet.run(10);
    fleet.kill(0);
    fleet.dropFromList(0);
    fleet.claimAndRead(1, 2);
    const outcomes = sendRequests(fleet, 3, 'waiting', 10);
    await fleet.run(50);
    fleet.claimAndRead(1, 3);
    await fleet.run(2_000);
    expect(countGranted(outcomes)).toBe(10);
  });

  test('takes the state from the standby when a third VM claims the shard', async () => {
    const fleet = await createFleet();
    sendRequests(fleet, 0, 'before', 1);
    await fleet.run(10);
    fleet.pause(0);
    fleet.claim(2, 3);
    [2, 3].forEach((vm) => fleet.read(vm));
    const outcomes = sendRequests(fleet, 3, 'after', 5);
    await fleet.run(100);
    expect(countGranted(outcomes)).toBe(3);
    // The old owner resumes without receiving the claim. It has the one token reserved for it.
    fleet.pause(2);
    fleet.exchange.takeAll();
    fleet.resume(0);
    const old = sendRequests(fleet, 0, 'old', 5);
    await fleet.run(20);
    expect(countGranted(old)).toBe(1);
  });

  test('a restarted standby that the claim does not name refuses to acknowledge', async () => {
    const fleet = await createFleet();
    fleet.claim(1, 2);
    [1, 2, 3].forEach((vm) => fleet.read(vm));
    fleet.pause(0);
    sendRequests(fleet, 3, 'new', 5);
    await fleet.run(10);
    fleet.restart(1);
    fleet.resume(0);
    // Drops the messages in transit, so that the old owner does not learn of the claim and still
    // replicates to the standby's VM.
    fleet.exchange.takeAll();
    const old = sendRequests(fleet, 0, 'old', 5);
    await fleet.run(20);
    expect(countGranted(old)).toBe(0);
  });

  test.each([
    { survivor: 'owner', ended: 1, asked: 0 },
    { survivor: 'standby', ended: 0, asked: 1 },
  ])(
    'the $survivor continues in solo mode during a log outage once its partner has ended',
    async (scenario) => {
      const fleet = await createFleet();
      Object.assign(fleet.log, { isAvailable: false });
      const pair = sendRequest(fleet, 3, 'pair');
      await fleet.run(10);
      expect(pair.granted).toBe(true);
      await fleet.run(1_000);
      fleet.kill(scenario.ended);
      const unproved = sendRequests(fleet, 3, 'unproved', 5);
      await fleet.run(1_000);
      expect(countGranted(unproved)).toBeLessThan(5);
      fleet.dropFromList(scenario.ended);
      // The paused member may know of a claim, so it must agree first.
      fleet.pause(2);
      await fleet.run(3_000);
      const undecided = sendRequest(fleet, 3, 'undecided');
      await fleet.run(500);
      expect(undecided.granted).toBeUndefined();
      fleet.resume(2);
      await fleet.run(2_000);
      const alone = sendRequest(fleet, scenario.asked, 'alone');
      await fleet.run(10);
      expect(alone.granted).toBe(true);
      // A VM without state takes over later and must wait for the survivor.
      Object.assign(fleet.log, { isAvailable: true });
      fleet.pause(scenario.asked);
      fleet.claimAndRead(2, 3);
      const later = sendRequest(fleet, 2, 'later');
      await fleet.run(1_000);
      expect(later.granted).toBeUndefined();
      fleet.resume(scenario.asked);
      await fleet.run(1_000);
      expect(later.granted).toBe(true);
    },
  );

  test('a survivor starts empty when its partner may have granted before it ended', async () => {
    const fleet = await createFleet();
    fleet.claim(1, 2);
    [1, 2, 3].forEach((vm) => fleet.read(vm));
    fleet.pause(0);
    const taken = sendRequests(fleet, 3, 'taken', 5);
    await fleet.run(10);
    expect(countGranted(taken)).toBe(5);
    [1, 2, 3].forEach((vm) => fleet.kill(vm));
    [1, 2, 3].forEach((vm) => fleet.dropFromList(vm));
    Object.assign(fleet.log, { isAvailable: false });
    fleet.exchange.takeAll();
    fleet.resume(0);
    const alone = sendRequests(fleet, 0, 'alone', 5);
    await fleet.run(600);
    expect(countGranted(alone)).toBeLessThanOrEqual(2);
  });

  test('a later owner waits for the survivor even when messages of the standby arrive late', async () => {
    const fleet = await createFleet();
    // The standby takes over and ends before its first message arrives.
    fleet.claim(1, 2);
    fleet.read(1);
    await fleet.settle();
    const late = fleet.exchange.takeAll();
    fleet.kill(1);
    fleet.dropFromList(1);
    Object.assign(fleet.log, { isAvailable: false });
    sendRequest(fleet, 0, 'alone');
    await fleet.run(3_000);
    expect(fleet.grants).toHaveLength(1);
    fleet.pause(0);
    late.forEach((message) => fleet.exchange.send(message));
    await fleet.run(10);
    Object.assign(fleet.log, { isAvailable: true });
    fleet.claimAndRead(2, 3);
    fleet.advance(5_000);
    const held = sendRequest(fleet, 2, 'held');
    await fleet.run(1_000);
    expect(held.granted).toBeUndefined();
  });
});
