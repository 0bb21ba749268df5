import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';
import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as memberStates from './MemberStates.js';
import * as probingMembership from './ProbingMembership.js';

const { describe, expect, test } = jestGlobals;
const { AVAILABLE, GONE, SUSPECTED } = memberStates.MEMBER_STATES;

type Handler = wire.RequestHandler<unknown, unknown>;
type Fleet = ReturnType<typeof createFleet>;

const INTERVAL_MS = 100;
const PAUSE_MS = 10_000;

/** Creates VMs that exchange messages in memory. A message to or from a cut VM fails. */
function createFleet() {
  const time = new clock.ManualClock();
  const handlers = new Map<string, Handler>();
  const faults = {
    cut: new Set<string>(),
    listIsDown: false,
    pauseOnFailure: false,
    messages: 0,
    listReads: 0,
  };
  let listed: platformClient.ListedVm[] = [];

  function createNetwork(self: wire.PeerIdentity): wire.PeerNetwork {
    const network = {
      self,
      serve(method: { name: string }, handler: Handler) {
        handlers.set(`${self.address} ${method.name}`, handler);
        return { dispose: () => undefined };
      },
      async request(address: string, method: { name: string }, request: unknown) {
        faults.messages += 1;
        const handler = handlers.get(`${address} ${method.name}`);
        if (!handler || faults.cut.has(address) || faults.cut.has(self.address)) {
          if (faults.pauseOnFailure) time.advance(PAUSE_MS);
          const kind = wire.PEER_FAILURES.TIMED_OUT;
          return trueMyth.Result.err<unknown, wire.PeerFailure>({ kind, message: 'cut' });
        }
        const result = await handler(structuredClone(request), self);
        return result;
      },
    };
    return network as unknown as wire.PeerNetwork;
  }

  return {
    time,
    faults,
    async start(
      name: string,
      seeds: readonly string[] = [],
      incarnation = '1',
      port = 1,
      settledListIntervalMs = INTERVAL_MS,
    ) {
      const self = { name, incarnation, address: `${name}:${port}`, failureDomain: 'quito-norte' };
      const membership = new probingMembership.ProbingMembership({
        network: createNetwork(self),
        vmList: { list: async () => readList() },
        clock: time,
        logger: { debug() {}, info() {}, warn() {}, error() {} },
        random: createRandom(),
        probeIntervalMs: INTERVAL_MS,
        probeTimeoutMs: 50,
        suspicionMs: 2 * INTERVAL_MS,
        listIntervalMs: INTERVAL_MS,
        settledListIntervalMs,
        seeds,
      });
      await membership.start();
      return membership;
    },
    list(...names: string[]) {
      listed = names.map((name) => ({
        name,
        address: `${name}:1`,
        failureDomain: 'quito-norte',
        leaving: false,
      }));
    },
    listProcess(name: string, incarnation: string) {
      listed = listed.map((vm) => (vm.name === name ? { ...vm, incarnation } : vm));
    },
    async run(rounds: number) {
      for (let round = 0; round < rounds; round += 1) {
        time.advance(INTERVAL_MS);
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
    },
  };

  function readList() {
    faults.listReads += 1;
    if (!faults.listIsDown) return trueMyth.Result.ok<typeof listed>(listed);
    return trueMyth.Result.err<never, platformClient.PlatformFailure>({
      kind: 'unavailable',
      message: 'down',
    });
  }
}

/** A linear congruential generator with a fixed seed. */
function createRandom(): () => number {
  let state = 7;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

async function startThree(fleet: Fleet) {
  fleet.list('a', 'b', 'c');
  const members = [await fleet.start('a'), await fleet.start('b'), await fleet.start('c')] as const;
  await fleet.run(10);
  return members;
}

describe('ProbingMembership', () => {
  test('does not report a listed VM as available while its process is not known', async () => {
    const fleet = createFleet();
    fleet.list('a', 'b');
    const member = await fleet.start('a');
    await fleet.run(1);
    expect(member.available().map(({ name }) => name)).toEqual(['a']);
  });

  test('reports VMs with listed processes as available, and detects a listed restart', async () => {
    const fleet = createFleet();
    fleet.list('a', 'b');
    fleet.listProcess('b', '1');
    const member = await fleet.start('a');
    await fleet.run(1);
    expect(member.available().map(({ name }) => name)).toEqual(['a', 'b']);
    fleet.listProcess('b', '2');
    await fleet.run(1);
    expect(member.find('b')).toMatchObject({ incarnation: '2', state: AVAILABLE });
    // A list entry may be older than the process's own update.
    fleet.listProcess('b', '1');
    await fleet.run(1);
    expect(member.find('b')).toMatchObject({ incarnation: '2' });
  });

  test('a process that starts late soon knows which of the listed VMs have ended', async () => {
    const fleet = createFleet();
    const names = Array.from({ length: 60 }, (unused, index) => `vm-${index}`);
    fleet.list(...names);
    names.forEach((name) => fleet.listProcess(name, '1'));
    await Promise.all(names.slice(0, 59).map((name) => fleet.start(name)));
    ['vm-7', 'vm-8'].forEach((name) => fleet.faults.cut.add(`${name}:1`));
    await fleet.run(60);
    const late = await fleet.start('vm-59');
    expect(late.available()).toHaveLength(60);
    // Each probe that the late process sends or receives carries the suspected members.
    await fleet.run(2);
    expect(late.available()).toHaveLength(58);
  });

  test('reads the list less often while it does not change', async () => {
    const fleet = createFleet();
    fleet.list('a', 'b');
    await fleet.start('a', [], '1', 1, 5 * INTERVAL_MS);
    await fleet.run(5);
    const settled = fleet.faults.listReads;
    await fleet.run(20);
    expect(fleet.faults.listReads - settled).toBeLessThanOrEqual(5);
    fleet.list('a', 'b', 'c');
    await fleet.run(6);
    const changed = fleet.faults.listReads;
    fleet.list('a', 'b', 'c', 'd');
    await fleet.run(3);
    expect(fleet.faults.listReads - changed).toBeGreaterThanOrEqual(1);
  });

  test('suspects a VM that stopped and makes it available when it responds again', async () => {
    const fleet = createFleet();
    const [first, second] = await startThree(fleet);
    fleet.faults.cut.add('c:1');
    await fleet.run(12);
    expect([first, second].map((member) => member.find('c')?.state)).toEqual([
      SUSPECTED,
      SUSPECTED,
    ]);
    expect(await first.confirmUnreachable('c')).toBe(true);
    expect(await first.confirmUnreachable('b')).toBe(false);
    expect(first.hasEnded('c', '1')).toBe(false);
    fleet.faults.cut.clear();
    await fleet.run(12);
    expect([first, second].map((member) => member.find('c')?.state)).toEqual([
      AVAILABLE,
      AVAILABLE,
    ]);
  });

  test('reads the list again soon until the first read succeeds', async () => {
    const fleet = createFleet();
    fleet.list('a', 'b');
    fleet.listProcess('b', '1');
    fleet.faults.listIsDown = true;
    const membership = await fleet.start('a');
    expect(membership.known.isOpen).toBe(false);
    fleet.faults.listIsDown = false;
    await fleet.run(1);
    expect(membership.known.isOpen).toBe(true);
    expect(membership.available().map(({ name }) => name)).toEqual(['a', 'b']);
  });

  test('proves an end only by a successful read of the list or by a later incarnation', async () => {
    const fleet = createFleet();
    const [first] = await startThree(fleet);
    fleet.faults.listIsDown = true;
    fleet.list('a', 'b');
    fleet.faults.cut.add('c:1');
    await fleet.run(12);
    expect(first.hasEnded('c', '1')).toBe(false);
    fleet.faults.listIsDown = false;
    await fleet.run(2);
    expect(first.hasEnded('c', '1')).toBe(true);
    expect(first.find('c')?.state).toBe(GONE);
    // The VM comes back under its name: only the earlier process has ended.
    await fleet.start('c', ['a:1'], '2', 2);
    await fleet.run(12);
    expect(first.find('c')).toMatchObject({ incarnation: '2', address: 'c:2', state: AVAILABLE });
    expect([first.hasEnded('c', '1'), first.hasEnded('c', '2')]).toEqual([true, false]);
  });

  test('accepts a process that started after the clock of its VM was set back', async () => {
    const fleet = createFleet();
    const [first, second] = await startThree(fleet);
    fleet.faults.cut.add('c:1');
    const third = await fleet.start('c', ['a:1'], '0', 2);
    await fleet.run(12);
    [first, second].forEach((member) =>
      expect(member.find('c')).toMatchObject({
        incarnation: '0',
        address: 'c:2',
        state: AVAILABLE,
      }),
    );
    expect(third.available()).toHaveLength(3);
    // The clock is set back again, to before the start of both.
    fleet.faults.cut.add('c:2');
    await fleet.start('c', ['a:1'], '-', 3);
    await fleet.run(12);
    expect(first.find('c')).toMatchObject({ incarnation: '-', state: AVAILABLE });
    // The clock moves forward: the process takes the generation after the last one.
    fleet.faults.cut.add('c:3');
    await fleet.start('c', ['a:1'], '7', 4);
    await fleet.run(12);
    expect(first.find('c')).toMatchObject({ incarnation: '7', state: AVAILABLE });
  });

  test('does not treat a VM that is not listed yet as ended', async () => {
    const fleet = createFleet();
    const [first] = await startThree(fleet);
    expect(first.hasEnded('d', '1')).toBe(false);
    await fleet.run(50);
    expect(first.hasEnded('d', '1')).toBe(false);
    await fleet.run(600);
    expect(first.hasEnded('d', '1')).toBe(true);
  });

  test('suspects no member after it was paused itself', async () => {
    const fleet = createFleet();
    const [first] = await startThree(fleet);
    fleet.faults.cut.add('a:1');
    fleet.faults.pauseOnFailure = true;
    await fleet.run(1);
    fleet.faults.pauseOnFailure = false;
    await fleet.run(1);
    expect(await first.confirmUnreachable('b')).toBe(false);
    expect(first.available()).toHaveLength(3);
  });

  test('learns members and their leaving through seeds while the list is unavailable', async () => {
    const fleet = createFleet();
    fleet.faults.listIsDown = true;
    const first = await fleet.start('a');
    const second = await fleet.start('b', ['a:1']);
    const third = await fleet.start('c', ['a:1']);
    await fleet.run(10);
    expect(third.members().map((member) => member.name)).toEqual(['a', 'b', 'c']);
    await second.announceLeaving();
    expect(first.available().map((member) => member.name)).toEqual(['a', 'c']);
    await fleet.run(10);
    expect(third.find('b')).toMatchObject({ leaving: true, state: AVAILABLE });
  });

  test('sends a number of messages per member that does not grow with the fleet', async () => {
    const fleet = createFleet();
    const names = Array.from({ length: 40 }, (unused, index) => `vm-${index}`);
    fleet.list(...names);
    await Promise.all(names.map((name) => fleet.start(name)));
    fleet.faults.messages = 0;
    await fleet.run(10);
    expect(fleet.faults.messages).toBeLessThanOrEqual(10 * names.length);
  });

  test('a large fleet agrees on the loss and the return of many members', async () => {
    const fleet = createFleet();
    const names = Array.from({ length: 60 }, (unused, index) => `vm-${index}`);
    fleet.list(...names);
    const members = await Promise.all(names.map((name) => fleet.start(name)));
    await fleet.run(30);
    const counts = (): number[] => members.map((member) => member.available().length);
    expect(new Set(counts())).toEqual(new Set([60]));
    const lost = names.filter((unused, index) => index % 2 === 0);
    lost.forEach((name) => fleet.faults.cut.add(`${name}:1`));
    await fleet.run(80);
    const left = members.filter(({ self }) => !lost.includes(self.name));
    expect(new Set(left.map((member) => member.available().length))).toEqual(new Set([30]));
    fleet.faults.cut.clear();
    await fleet.run(80);
    expect(new Set(counts())).toEqual(new Set([60]));
  });
});
