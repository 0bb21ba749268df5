import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as loadCollectors from './loadCollectors.js';
import * as messages from './messages.js';
import * as targetLoads from './TargetLoads.js';
import * as targetSelector from './TargetSelector.js';
import * as targetSender from './TargetSender.js';
import * as fixtures from './testing/gatewayFixtures.js';
import type { Target, TargetTransport } from './Types.js';

const { describe, expect, test } = jestGlobals;

const STEP_MS = 20;

/** Turns start in bursts, so that many VMs choose at the same moment, by equally old views. */
const BURST_INTERVAL_MS = 200;
const TURNS_PER_BURST = 12;

/** Time between two chunks of a stream at normal speed. */
const CHUNK_MS = 200;

const TARGETS = Array.from({ length: 34 }, (_, index) =>
  fixtures.createTarget(`target-${index}`, { slots: 2 }),
);
const isSlow = ({ id }: Target): boolean => Number(id.split('-')[1]) % 4 === 0;

const NO_EXCHANGE = { abort: () => undefined, pause: () => undefined, resume: () => undefined };

type Handler = (request: unknown, from: { name: string }) => Promise<unknown>;

/** VMs that send streams to the same engines on a manual clock. Messages arrive at once. */
function createFleet(count: number, sharesLoads: boolean): TestFleet {
  const time = new clock.ManualClock();
  const logger = new logging.PartLogger('test');
  const random = createRandom(7);
  const handlers = new Map<string, Handler>();
  const fleet: TestFleet = { vms: [], silent: new Set(), messages: [], sent: [], play };
  const members = Array.from({ length: count }, (_, index) => ({
    name: `vm-${index}`,
    address: `vm-${index}`,
  })) as unknown as readonly membership.Member[];
  fleet.vms = members.map((self) => createVm(self));
  return fleet;

  function createVm(self: membership.Member): TestVm {
    const network = {
      self,
      serve: ({ name }: { name: string }, handler: Handler) => {
        handlers.set(`${self.name} ${name}`, handler);
        return { dispose: () => undefined };
      },
      request: async (address: string, { name }: { name: string }, request: unknown) => {
        fleet.messages.push(address);
        if (!fleet.silent.has(address)) return handlers.get(`${address} ${name}`)!(request, self);
        return trueMyth.Result.err({ kind: 'timeout', message: 'scripted' });
      },
    } as unknown as wire.PeerNetwork;
    const base = fixtures.createDependencies({ send: () => NO_EXCHANGE }, TARGETS);
    const { registry, scores } = base;
    const loads = new targetLoads.TargetLoads({
      network,
      membership: { available: () => members },
      registry,
      scores,
      metrics: { gauge: () => undefined },
      clock: time,
      logger,
    });
    const shared = sharesLoads ? loads : undefined;
    const selector = new targetSelector.TargetSelector({
      registry,
      scores,
      limits: base.limits,
      clock: time,
      ownFailureDomain: 'a',
      random,
      weights: shared,
    });
    const options = { transport: { send: respond }, scores, clock: time, logger };
    const sender = new targetSender.TargetSender({ ...options, recorder: shared });
    return { name: self.name, loads, registry, startTurn: (turn) => startTurn(turn) };

    function startTurn(turn: string): void {
      const target = selector.select('pool', turn, new Set(), true)!;
      fleet.sent.push({ target, at: time.now() });
      const context = fixtures.createContext(base, { kind: 'stream' });
      sender.send(target, context.toRequest(0), {
        onHead: () => undefined,
        onData: () => undefined,
        onEnd: () => undefined,
        onFailure: () => undefined,
      });
    }
  }

  function respond(
    ...[target, , handler]: Parameters<TargetTransport['send']>
  ): ReturnType<TargetTransport['send']> {
    const noise = random() < 0.15 ? 2.5 : 1;
    const chunkMs = (CHUNK_MS * noise) / (isSlow(target) ? 0.55 : 1.2);
    handler.onHead(fixtures.HEAD);
    handler.onData(Buffer.from('1'));
    time.startTimer(chunkMs, () => handler.onData(Buffer.from('2')));
    time.startTimer(2 * chunkMs, () => {
      handler.onData(Buffer.from('3'));
      handler.onEnd();
    });
    return NO_EXCHANGE;
  }

  async function play(seconds: number, turnsPerBurst = TURNS_PER_BURST): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < seconds * 1_000; elapsedMs += STEP_MS) {
      for (let turn = 0; elapsedMs % BURST_INTERVAL_MS === 0 && turn < turnsPerBurst; turn += 1)
        fleet.vms[Math.floor(random() * count)]!.startTurn(`turn-${random()}`);
      time.advance(STEP_MS);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}

interface TestVm {
  readonly name: string;
  readonly loads: targetLoads.TargetLoads;
  readonly registry: fixtures.TestDependencies['registry'];
  readonly startTurn: (turn: string) => void;
}

interface TestFleet {
  vms: readonly TestVm[];
  /** Names of the VMs that do not respond. */
  readonly silent: Set<string>;
  /** The receivers of all messages. */
  readonly messages: string[];
  readonly sent: { readonly target: Target; readonly at: number }[];
  play(seconds: number, turnsPerBurst?: number): Promise<void>;
}

/** How turns are spread over the engines. */
interface Spread {
  readonly slowShare: number;
  readonly busiestToMean: number;
  readonly dispersion: number;
}

/** The turns of the first seconds are not evaluated, because the collector starts with no data. */
const WARM_UP_S = 10;
const EVALUATED_S = 40;

/** Plays a load and evaluates how its turns are spread over the engines. */
async function playLoad(sharesLoads: boolean): Promise<Spread> {
  const fleet = createFleet(61, sharesLoads);
  await fleet.play(WARM_UP_S + EVALUATED_S);
  const sent = fleet.sent.filter(({ at }) => at >= WARM_UP_S * 1_000);
  const workOf = (target: Target): number =>
    sent.filter((turn) => turn.target === target).length / (isSlow(target) ? 0.55 : 1.2);
  const work = TARGETS.map(workOf);
  const counts = TARGETS.filter((target) => !isSlow(target)).flatMap((target) =>
    Array.from(
      { length: EVALUATED_S },
      (_, second) =>
        sent.filter(
          (turn) => turn.target === target && Math.floor(turn.at / 1_000) === WARM_UP_S + second,
        ).length,
    ),
  );
  const mean = sum(counts) / counts.length;
  return {
    slowShare: sent.filter(({ target }) => isSlow(target)).length / sent.length,
    busiestToMean: Math.max(...work) / (sum(work) / work.length),
    // Near 1 if each second's turns are spread at random, and far above if targets take turns.
    dispersion: sum(counts.map((value) => (value - mean) ** 2)) / counts.length / mean,
  };
}

function collectorOf({ vms }: TestFleet): string {
  const members = vms.map(({ name }) => ({ name, address: name }));
  return loadCollectors.loadCollectors('vm-0', members).ranked[0]!.name;
}

describe('TargetLoads', () => {
  test('slow engines get few turns, and the others get even shares from second to second', async () => {
    const before = await playLoad(false);
    const after = await playLoad(true);
    expect(before.slowShare).toBeGreaterThan(0.2);
    expect(after.slowShare).toBeLessThan(0.1);
    expect(after.busiestToMean).toBeLessThan(0.85 * before.busiestToMean);
    expect(after.dispersion).toBeLessThan(1.3);
  });

  // The view of a dead collector stayed in use, or its group never reported to another one.
  test('another VM collects when the collector is silent; without any, the view expires', async () => {
    const fleet = createFleet(20, true);
    const collector = collectorOf(fleet);
    fleet.silent.add(collector);
    await fleet.play(20);
    const other = fleet.vms.find(({ name }) => name !== collector)!;
    expect(other.loads.current().size).toBeGreaterThan(0);
    // Each of the 19 other VMs tries it at most every 2 s.
    const tries = fleet.messages.filter((name) => name === collector).length;
    expect(tries).toBeLessThanOrEqual(19 * 10);
    fleet.vms.forEach(({ name }) => fleet.silent.add(name));
    await fleet.play(5.2, 0);
    expect(other.loads.current().size).toBe(0);
  });

  test('an idle fleet sends nothing; a busy VM sends one message per second', async () => {
    const fleet = createFleet(61, true);
    await fleet.play(5);
    expect(fleet.messages.length).toBeLessThanOrEqual(61 * 5);
    await fleet.play(4, 0);
    const { length } = fleet.messages;
    await fleet.play(5, 0);
    expect(fleet.messages).toHaveLength(length);
  });

  test('a new process of a target does not inherit the weight of its predecessor', async () => {
    const fleet = createFleet(20, true);
    await fleet.play(15);
    const vm = fleet.vms.find(({ name }) => name !== collectorOf(fleet));
    const [slow] = [...vm!.loads.current()].find(([, weight]) => weight < 0.3)!;
    vm!.registry.update({ ...vm!.registry.find(slow)!, incarnation: '2' });
    expect(vm!.loads.current().has(slow)).toBe(false);
    await fleet.play(2);
    expect(vm!.loads.current().has(slow)).toBe(false);
  });
});

describe('messages of target loads', () => {
  const sample = { target: 'one', incarnation: '1', value: 20, kind: 'stream' };
  // Each of these would distort the medians or grow the state of a collector.
  test.each([
    { samples: [{ ...sample, value: -1 }] },
    { samples: [{ ...sample, value: Number.NaN }] },
    { samples: [{ ...sample, value: Number.POSITIVE_INFINITY }] },
    { samples: [{ ...sample, kind: 'other' }] },
    { samples: [{ ...sample, target: 'x'.repeat(201) }] },
    { samples: Array(33).fill(sample) },
    { inFlight: [{ target: 'one', count: -1 }] },
    { inFlight: [{ target: 'one', count: 1.5 }] },
  ])('rejects the report %j', (change) => {
    const { request } = messages.TARGET_LOADS;
    const report = { samples: [sample], inFlight: [{ target: 'one', count: 1 }] };
    expect(request.safeParse(report).success).toBe(true);
    expect(request.safeParse({ ...report, ...change }).success).toBe(false);
  });
});

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** A linear congruential generator. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
