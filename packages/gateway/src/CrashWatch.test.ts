import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as callContext from './CallContext.js';
import * as crashWatch from './CrashWatch.js';
import * as fixtures from './testing/gatewayFixtures.js';

const { afterEach, describe, expect, test } = jestGlobals;

/** Number of messages that the watches have sent. */
let sentCount = 0;

const watches: lifetime.Disposable[] = [];

afterEach(async () => {
  await Promise.all(watches.splice(0).map((watch) => watch.dispose()));
});

describe('CrashWatch', () => {
  test('a request is refused on all VMs once it has crashed three targets', async () => {
    const [first, second] = createFleet(2);
    const poison = createContext('poison');
    ['one', 'two', 'three'].forEach((id) => reportCrash(first!, poison, id));
    await settleMessages();
    expect(first!.admit(poison)).toBe(false);
    expect(second!.admit(poison)).toBe(false);
    expect(second!.admit(createContext('other'))).toBe(true);
  });

  test('crashes that different VMs observed are counted together', async () => {
    const fleet = createFleet(3);
    const poison = createContext('poison');
    for (const [index, id] of ['one', 'two', 'three'].entries()) {
      reportCrash(fleet[index]!, poison, id);
      await settleMessages();
    }
    expect(fleet.map((watch) => watch.admit(poison))).toEqual([false, false, false]);
  });

  test('the number of messages for a broken connection does not grow with the fleet', async () => {
    const fleet = createFleet(200);
    sentCount = 0;
    fleet.forEach((watch, index) => reportCrash(watch, createContext(`request-${index}`), 'one'));
    await settleMessages();
    expect(sentCount).toBeLessThanOrEqual(2 * fleet.length);
    // The quarantine of a request is announced to all VMs.
    const poison = createContext('poison');
    for (const [index, id] of ['one', 'two', 'three'].entries()) {
      reportCrash(fleet[index]!, poison, id);
      await settleMessages();
    }
    for (let settled = 0; settled < 20; settled += 1) await settleMessages();
    expect(fleet.some((watch) => watch.admit(poison))).toBe(false);
  });

  test('repeated crashes of a single target do not quarantine a request', () => {
    const [watch] = createFleet(1);
    const request = createContext('request');
    for (let death = 0; death < 5; death += 1) reportCrash(watch!, request, 'one');
    expect(watch!.admit(request)).toBe(true);
  });

  test('a request that a target has completed is no longer suspected', () => {
    const [watch] = createFleet(1);
    const request = createContext('request');
    ['one', 'two'].forEach((id) => reportCrash(watch!, request, id));
    watch!.recordCompletion(request);
    ['three', 'four'].forEach((id) => reportCrash(watch!, request, id));
    expect(watch!.admit(request)).toBe(true);
  });

  // Turns of different programs often have the same new input. A few reset answers to some of them
  // made all VMs refuse all of them.
  test('turns with the same input that continue different turns are different requests', async () => {
    const [watch] = createFleet(1);
    const turns = ['a', 'b', 'c', 'd'].map((previous) => createTurn(previous));
    ['one', 'two', 'three'].forEach((id, index) => reportCrash(watch!, turns[index]!, id));
    expect(turns.map((turn) => watch!.admit(turn))).toEqual([true, true, true, true]);
    ['four', 'five'].forEach((id) => reportCrash(watch!, turns[0]!, id));
    expect(turns.map((turn) => watch!.admit(turn))).toEqual([false, true, true, true]);
  });

  // Only the VM that received a completed response knew of it, not those that counted the crashes.
  test('a request that targets complete at other VMs is not quarantined by reset answers', async () => {
    const fleet = createFleet(7);
    const request = createContext('availability of a lens');
    for (let reset = 0; reset < 12; reset += 1) {
      reportCrash(fleet[reset % 2]!, request, `target-${reset % 4}`);
      await settleMessages();
      fleet[5]!.recordCompletion(request);
      await settleMessages();
    }
    expect(fleet.every((watch) => watch.admit(request))).toBe(true);
  });

  // A fault that breaks many connections at once was counted as one crash after the other.
  test('crashes of calls that ran at the same time at different VMs count as one', async () => {
    const time = createTime();
    const fleet = createFleet(6, time);
    const request = createContext('availability of a lens');
    const sentAt = time.now();
    time.advance(40);
    for (const [index, watch] of fleet.entries()) {
      reportCrash(watch, request, `target-${index}`, sentAt);
      await settleMessages();
      time.advance(1);
    }
    expect(fleet.every((watch) => watch.admit(request))).toBe(true);
  });

  test('a request that was running when it was quarantined lifts the quarantine by completing', async () => {
    const { fleet, poison } = await createQuarantine(createTime());
    fleet[4]!.recordCompletion(poison);
    await settleMessages();
    expect(fleet.every((watch) => watch.admit(poison))).toBe(true);
  });

  // Quarantines had no end. Whoever met only faulty connections was refused until each process ended.
  test('a quarantine ends with one trial, which lifts it by completing', async () => {
    const time = createTime();
    const { fleet, poison } = await createQuarantine(time);
    time.advance(29_000);
    expect(fleet.some((watch) => watch.admit(poison))).toBe(false);
    time.advance(1_100);
    expect([fleet[3]!.admit(poison), fleet[3]!.admit(poison)]).toEqual([true, false]);
    fleet[3]!.recordCompletion(poison);
    await settleMessages();
    expect(fleet.every((watch) => watch.admit(poison))).toBe(true);
  });

  test('a crash in a trial renews the quarantine on all VMs, for twice as long', async () => {
    const time = createTime();
    const { fleet, poison } = await createQuarantine(time);
    const crashedTrials: number[] = [];
    const startedAt = time.now();
    while (time.now() - startedAt < 10 * 60_000) {
      time.advance(500);
      const index = fleet.findIndex((watch) => watch.admit(poison));
      if (index >= 0) {
        reportCrash(fleet[index]!, poison, 'one', time.now());
        await settleMessages();
        crashedTrials.push(Math.round((time.now() - startedAt) / 1_000));
      }
    }
    expect(crashedTrials).toEqual([30, 90, 210, 450]);
  });
});

interface Quarantine {
  readonly fleet: readonly crashWatch.CrashWatch[];
  readonly poison: callContext.CallContext;
}

/** A fleet whose VMs all refuse a request. */
async function createQuarantine(time: clock.Clock): Promise<Quarantine> {
  const fleet = createFleet(7, time);
  const poison = createContext('poison');
  for (const [index, id] of ['one', 'two', 'three'].entries()) {
    reportCrash(fleet[index]!, poison, id, time.now());
    await settleMessages();
  }
  expect(fleet.some((watch) => watch.admit(poison))).toBe(false);
  return { fleet, poison };
}

function createTime(): clock.ManualClock {
  const time = new clock.ManualClock();
  time.advance(1_000);
  return time;
}

/** Creates watches whose messages to each other arrive at once. */
function createFleet(
  count: number,
  time: clock.Clock = new clock.SystemClock(),
): crashWatch.CrashWatch[] {
  const handlers = new Map<string, (request: unknown, from: unknown) => unknown>();
  const members = Array.from({ length: count }, (_, index) => ({
    name: `vm-${index}`,
    address: `vm-${index}`,
  }));
  return members.map((self) => {
    const network = {
      self,
      serve: (method: { name: string }, handler: (request: unknown, from: unknown) => unknown) => {
        handlers.set(`${self.address} ${method.name}`, handler);
        return { dispose: () => undefined };
      },
      request: async (address: string, method: { name: string }, request: unknown) => {
        sentCount += 1;
        return handlers.get(`${address} ${method.name}`)?.(request, self);
      },
    } as unknown as wire.PeerNetwork;
    const watch = new crashWatch.CrashWatch({
      network,
      membership: { available: () => members as unknown as readonly membership.Member[] },
      clock: time,
      logger: new logging.PartLogger('test'),
    });
    watches.push(watch);
    return watch;
  });
}

function createContext(body: string): callContext.CallContext {
  const call = fixtures.createCall(new clock.SystemClock(), { body: Buffer.from(body) });
  return new callContext.CallContext(call, fixtures.createRoute(), undefined);
}

function createTurn(previousTurn: string): callContext.CallContext {
  const call = fixtures.createCall(new clock.SystemClock(), {
    body: Buffer.from('continue'),
    programContext: { program: `program-${previousTurn}`, budgetTokens: 1_000, previousTurn },
  });
  return new callContext.CallContext(call, fixtures.createRoute({ retainsTurns: true }), undefined);
}

function reportCrash(
  watch: crashWatch.CrashWatch,
  context: callContext.CallContext,
  target: string,
  sentAt = new clock.SystemClock().now(),
): void {
  watch.recordCrash(context, fixtures.createTarget(target), sentAt);
}

function settleMessages(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
