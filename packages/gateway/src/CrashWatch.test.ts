import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as callContext from './CallContext.js';
import * as crashWatch from './CrashWatch.js';
import * as fixtures from './testing/gatewayFixtures.js';
import type { QuarantineRecord } from './Types.js';

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

describe('CrashWatch of a VM that missed an announcement', () => {
  // Guards against a VM that passes on a request which all others know to crash targets.
  test.each([
    {
      vms: 'the VM that counts the crashes first',
      restarted: (order: readonly string[]) => [order[0]!],
    },
    { vms: 'another VM', restarted: (order: readonly string[]) => [order.at(-1)!] },
    { vms: 'all VMs in turn', restarted: (order: readonly string[]) => order },
    {
      vms: 'all VMs in turn, twice',
      restarted: (order: readonly string[]) => [...order, ...order],
    },
  ])('$vms: a quarantined request is refused after a restart', async ({ restarted }) => {
    const fleet = createCrashFleet();
    const poison = createContext('poison');
    await quarantine(fleet, poison);
    for (const name of restarted(fleet.countingOrder(poison))) {
      fleet.stop(name);
      await settleMessages();
      fleet.start(name);
      await settleMessages();
      expect(fleet.names.filter((other) => fleet.watch(other).admit(poison))).toEqual([]);
    }
  });

  test('a quarantined request is refused after all VMs have lost power', async () => {
    const fleet = createCrashFleet();
    const poison = createContext('poison');
    await quarantine(fleet, poison);
    fleet.names.forEach((name) => fleet.stop(name));
    fleet.names.forEach((name) => fleet.start(name));
    expect(fleet.names.filter((name) => fleet.watch(name).admit(poison))).toEqual([]);
    expect(fleet.watch('vm-0').admit(createContext('other'))).toBe(true);
  });

  test('a VM that is added refuses a quarantined request', async () => {
    const fleet = createCrashFleet();
    const poison = createContext('poison');
    await quarantine(fleet, poison);
    fleet.start('added');
    await settleMessages();
    expect(fleet.watch('added').admit(poison)).toBe(false);
  });

  test.each([{ isNoticed: true }, { isNoticed: false }])(
    'a VM that was cut off refuses a quarantined request afterwards (noticed by the members: $isNoticed)',
    async ({ isNoticed }) => {
      const fleet = createCrashFleet({ readsLogWhileRunning: false });
      const poison = createContext('poison');
      const cutOff = fleet.countingOrder(poison).at(-1)!;
      fleet.cutOff(cutOff, isNoticed);
      await quarantine(fleet, poison);
      expect(fleet.watch(cutOff).admit(poison)).toBe(true);
      fleet.reconnect(cutOff);
      for (let second = 0; second < 3; second += 1) {
        fleet.time.advance(1_000);
        await settleMessages();
      }
      expect(fleet.watch(cutOff).admit(poison)).toBe(false);
    },
  );

  test('a VM that nobody has told learns of a quarantine by its first report of a crash', async () => {
    const fleet = createCrashFleet({ readsLogWhileRunning: false });
    const poison = createContext('poison');
    const cutOff = fleet.countingOrder(poison).at(-1)!;
    fleet.cutOff(cutOff, false);
    await quarantine(fleet, poison);
    fleet.time.advance(10_000);
    await settleMessages();
    fleet.reconnect(cutOff);
    expect(fleet.watch(cutOff).admit(poison)).toBe(true);
    reportCrash(fleet.watch(cutOff), poison, 'one', fleet.time.now());
    await settleMessages();
    expect(fleet.watch(cutOff).admit(poison)).toBe(false);
  });

  test('a VM that is told late refuses a request no longer than the others', async () => {
    const fleet = createCrashFleet({ readsLogWhileRunning: false });
    const poison = createContext('poison');
    const cutOff = fleet.countingOrder(poison).at(-1)!;
    fleet.cutOff(cutOff, true);
    await quarantine(fleet, poison);
    fleet.time.advance(20_000);
    await settleMessages();
    fleet.reconnect(cutOff);
    await settleMessages();
    expect(fleet.watch(cutOff).admit(poison)).toBe(false);
    fleet.time.advance(11_000);
    expect(fleet.watch(cutOff).admit(poison)).toBe(true);
  });

  test('a lifted quarantine does not come back with a restart', async () => {
    const fleet = createCrashFleet();
    const poison = createContext('poison');
    await quarantine(fleet, poison);
    fleet.watch('vm-4').recordCompletion(poison);
    await settleMessages();
    expect(fleet.records.size).toBe(0);
    fleet.stop('vm-2');
    fleet.start('vm-2');
    await settleMessages();
    expect(fleet.names.every((name) => fleet.watch(name).admit(poison))).toBe(true);
  });

  test('records of quarantines that ended long ago are removed', async () => {
    const fleet = createCrashFleet();
    await quarantine(fleet, createContext('poison'));
    expect(fleet.records.size).toBe(1);
    for (let minute = 0; minute < 75; minute += 1) {
      fleet.time.advance(60_000);
      await settleMessages();
    }
    expect(fleet.records.size).toBe(0);
  });
});

/** Processes that detect requests which crash targets, with a log that keeps quarantines. */
interface CrashFleet {
  readonly time: clock.ManualClock;
  readonly names: readonly string[];
  /** The records of the log: lengths of quarantines by fingerprint. */
  readonly records: ReadonlyMap<string, number>;
  watch(name: string): crashWatch.CrashWatch;
  /** The names of the VMs; those that count the crashes of a request come first. */
  countingOrder(context: callContext.CallContext): readonly string[];
  start(name: string): void;
  stop(name: string): void;
  /** @param isNoticed Whether the members see that the VM is not available. */
  cutOff(name: string, isNoticed: boolean): void;
  reconnect(name: string): void;
}

/** @param options Whether processes read changes of the log, too, and not only when they start. */
function createCrashFleet(options = { readsLogWhileRunning: true }): CrashFleet {
  const time = createTime();
  const names = Array.from({ length: 7 }, (_, index) => `vm-${index}`);
  const records = new Map<string, number>();
  const handlers = new Map<string, (request: unknown, from: unknown) => unknown>();
  const running = new Map<string, crashWatch.CrashWatch>();
  const unreachable = new Set<string>();
  const changes = new lifetime.Emitter<membership.Member>();
  const reads = new lifetime.Emitter<QuarantineRecord>();
  let available: readonly membership.Member[] = [];
  const write = (fingerprint: string, lengthMs: number | undefined): void => {
    if (lengthMs === undefined) records.delete(fingerprint);
    else records.set(fingerprint, lengthMs);
    if (options.readsLogWhileRunning) reads.fire({ fingerprint, lengthMs });
  };
  const setState = (name: string, state: membership.MemberState): void => {
    available = available.filter((member) => member.name !== name);
    const incarnation = String(time.now());
    const identity = { name, incarnation, address: name, failureDomain: 'a' };
    const member = { ...identity, state, listed: true, leaving: false };
    if (state === membership.MEMBER_STATES.AVAILABLE) available = [...available, member];
    changes.fire(member);
  };
  const start = (name: string): void => {
    const self = { name, address: name };
    const network = {
      self,
      serve: (method: { name: string }, handler: (request: unknown, from: unknown) => unknown) => {
        handlers.set(`${name} ${method.name}`, handler);
        return { dispose: () => undefined };
      },
      request: async (address: string, method: { name: string }, request: unknown) => {
        const isCut = unreachable.has(address) || unreachable.has(name) || !running.has(address);
        if (isCut) return trueMyth.Result.err({ kind: 'not-sent', message: 'cut' });
        return handlers.get(`${address} ${method.name}`)?.(request, self);
      },
    } as unknown as wire.PeerNetwork;
    const ownReads = new lifetime.Emitter<QuarantineRecord>();
    reads.event((record) => ownReads.fire(record));
    const watch = new crashWatch.CrashWatch({
      network,
      membership: { available: () => available, onChange: changes.event },
      records: {
        onRead: ownReads.event,
        store: (fingerprint, lengthMs) => write(fingerprint, lengthMs),
        remove: (fingerprint) => write(fingerprint, undefined),
      },
      clock: time,
      logger: new logging.PartLogger('test'),
    });
    watches.push(watch);
    running.set(name, watch);
    records.forEach((lengthMs, fingerprint) => ownReads.fire({ fingerprint, lengthMs }));
    setState(name, membership.MEMBER_STATES.AVAILABLE);
  };
  names.forEach((name) => start(name));
  return {
    time,
    names,
    records,
    watch: (name) => running.get(name)!,
    countingOrder: (context) =>
      keyedLog.rankByRendezvous(crashWatch.fingerprintOf(context), names, (name) => name),
    start,
    stop: (name) => {
      running.get(name)?.dispose();
      running.delete(name);
      setState(name, membership.MEMBER_STATES.GONE);
    },
    cutOff: (name, isNoticed) => {
      unreachable.add(name);
      if (isNoticed) setState(name, membership.MEMBER_STATES.SUSPECTED);
    },
    reconnect: (name) => {
      unreachable.delete(name);
      if (!available.some((member) => member.name === name))
        setState(name, membership.MEMBER_STATES.AVAILABLE);
    },
  };
}

/** Makes a request crash three targets, as the first VM sees it. */
async function quarantine(fleet: CrashFleet, poison: callContext.CallContext): Promise<void> {
  const [counting] = fleet.countingOrder(poison);
  for (const id of ['one', 'two', 'three']) {
    reportCrash(fleet.watch(counting!), poison, id, fleet.time.now());
    await settleMessages();
  }
  expect(fleet.watch(counting!).admit(poison)).toBe(false);
}

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
      membership: {
        available: () => members as unknown as readonly membership.Member[],
        onChange: () => ({ dispose: () => undefined }),
      },
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
