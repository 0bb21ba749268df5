import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as loadCollectors from './loadCollectors.js';
import * as messages from './messages.js';
import * as targetLoads from './TargetLoads.js';
import * as targetSelector from './TargetSelector.js';
import * as targetSender from './TargetSender.js';
import * as fixtures from './testing/gatewayFixtures.js';
import type { Exchange, ResponseHandler, Target } from './Types.js';

const { describe, expect, test } = jestGlobals;

const STEP_MS = 20;

/** Turns start in bursts, so that many VMs choose at the same moment, by equally old views. */
const BURST_INTERVAL_MS = 200;
const TURNS_PER_BURST = 12;

/** The time between two chunks of a stream at normal speed. */
const CHUNK_MS = 200;

/** The turns of the first seconds are not evaluated, because the collector starts with no data. */
const WARM_UP_S = 10;
const EVALUATED_S = 40;

const TARGETS = Array.from({ length: 34 }, (_, index) =>
  fixtures.createTarget(`target-${index}`, { slots: 2 }),
);
const isSlow = ({ id }: Target): boolean => Number(id.split('-')[1]) % 4 === 0;

const ignore = (): void => undefined;
const EXCHANGE: Exchange = { abort: ignore, pause: ignore, resume: ignore };
const HANDLER: ResponseHandler = {
  onHead: ignore,
  onData: ignore,
  onEnd: ignore,
  onFailure: ignore,
};

type Handler = (request: unknown, from: unknown) => Promise<unknown>;

interface SentTurn {
  readonly target: Target;
  readonly second: number;
}

/** VMs that send streams to the same engines on a manual clock. Messages arrive at once. */
function createFleet(count: number, sharesLoads = true) {
  const time = new clock.ManualClock();
  const random = createRandom(7);
  const handlers = new Map<string, Handler>();
  const members = Array.from({ length: count }, (_, index) => `vm-${index}`).map((name) => ({
    ...{ name, address: name, incarnation: '1', failureDomain: 'a' },
    ...{ state: 'available' as const, listed: true, leaving: false },
  }));
  const collector = loadCollectors.loadCollectors('vm-0', members).ranked[0]!.name;
  const fleet = { collector, silent: new Set<string>(), messages: [] as string[], play };
  const loads: targetLoads.TargetLoads[] = [];
  const registries: fixtures.TestDependencies['registry'][] = [];
  const sent: SentTurn[] = [];
  const vms = members.map((self) => createVm(self));
  return { ...fleet, loads, registries, sent };

  function createVm(self: (typeof members)[number]): (turn: string) => void {
    const network = {
      self,
      serve: (_method: unknown, handler: Handler) => {
        handlers.set(self.name, handler);
        return { dispose: ignore };
      },
      request: async (address: string, _method: unknown, request: unknown) => {
        fleet.messages.push(address);
        if (!fleet.silent.has(address)) return handlers.get(address)!(request, self);
        return trueMyth.Result.err({ kind: 'timeout', message: 'scripted' });
      },
    } as unknown as wire.PeerNetwork;
    const base = fixtures.createDependencies({ send: respond }, TARGETS, { clock: time });
    const options = { ...base, transport: { send: respond }, ownFailureDomain: 'a', random };
    const membership = { available: () => members };
    const metrics = { gauge: ignore };
    const vmLoads = new targetLoads.TargetLoads({ ...base, network, membership, metrics });
    loads.push(vmLoads);
    registries.push(base.registry);
    const shared = sharesLoads ? vmLoads : undefined;
    const selector = new targetSelector.TargetSelector({
      ...options,
      rules: fixtures.NO_RULES,
      weights: shared,
    });
    const sender = new targetSender.TargetSender({ ...options, recorder: shared });
    return (turn) => {
      const target = selector.select({
        pool: 'pool',
        affinity: turn,
        excluded: new Set(),
        isRepeatable: true,
        homeRegions: undefined,
      })!;
      sent.push({ target, second: Math.floor(time.now() / 1_000) });
      const request = fixtures.createContext(base, { kind: 'stream' }).toRequest(0);
      sender.send(target, request, HANDLER);
    };
  }

  function respond(target: Target, _request: unknown, handler: ResponseHandler): Exchange {
    const noise = random() < 0.15 ? 2.5 : 1;
    const chunkMs = (CHUNK_MS * noise) / (isSlow(target) ? 0.55 : 1.2);
    handler.onHead(fixtures.HEAD);
    [0, 1, 2].forEach((chunk) =>
      time.startTimer(chunk * chunkMs, () => handler.onData(Buffer.from('chunk'))),
    );
    time.startTimer(2 * chunkMs, () => handler.onEnd());
    return EXCHANGE;
  }

  async function play(seconds: number, turnsPerBurst = TURNS_PER_BURST): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < seconds * 1_000; elapsedMs += STEP_MS) {
      for (let turn = 0; elapsedMs % BURST_INTERVAL_MS === 0 && turn < turnsPerBurst; turn += 1)
        vms[Math.floor(random() * count)]!(`turn-${random()}`);
      time.advance(STEP_MS);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  }
}

function load(target: string, pace: number, inFlight = 0, incarnation = '1') {
  return { target, incarnation, pace, inFlight };
}

/**
 * One VM that is never a collector. The collectors respond with the given views in turn; without a
 * view, a collector does not respond.
 */
function createReporter(knownTargets = TARGETS) {
  const time = new clock.ManualClock();
  const names = ['vm-0', 'vm-1', 'vm-2', 'vm-3'];
  const members = names.map((name) => ({ name, address: name }) as never);
  const { name } = loadCollectors.loadCollectors('vm-0', members).ranked.at(-1)!;
  const views: (messages.TargetLoadView['targets'] | undefined)[] = [];
  const reports: messages.TargetLoadReport[] = [];
  const network = {
    self: { name },
    serve: () => ({ dispose: ignore }),
    request: async (_address: string, _method: unknown, request: messages.TargetLoadReport) => {
      reports.push(request);
      const targets = views.shift();
      return targets === undefined
        ? trueMyth.Result.err({ kind: 'timeout', message: 'scripted' })
        : trueMyth.Result.ok({ targets });
    },
  } as unknown as wire.PeerNetwork;
  const base = fixtures.createDependencies({ send: () => EXCHANGE }, knownTargets, { clock: time });
  const membership = { available: () => members };
  const options = { ...base, network, membership, metrics: { gauge: ignore } };
  const loads = new targetLoads.TargetLoads(options);
  const wait = async (): Promise<void> => {
    time.advance(1_000);
    await new Promise(setImmediate);
  };
  /** Reports while a request is in flight. */
  const report = async (): Promise<void> => {
    base.scores.recordSent('target-0');
    loads.begin(fixtures.createContext(base).toRequest(0));
    await wait();
    base.scores.recordDone('target-0');
  };
  return { loads, reports, views, report, wait };
}

/** Plays a load and evaluates how its turns are spread over the engines. */
async function playLoad(sharesLoads: boolean): Promise<readonly [number, number, number]> {
  const fleet = createFleet(61, sharesLoads);
  await fleet.play(WARM_UP_S + EVALUATED_S);
  const sent = fleet.sent.filter(({ second }) => second >= WARM_UP_S);
  const turnsOf = (target: Target): typeof sent => sent.filter((turn) => turn.target === target);
  const work = TARGETS.map((target) => turnsOf(target).length / (isSlow(target) ? 0.55 : 1.2));
  const counts = TARGETS.filter((target) => !isSlow(target)).flatMap((target) =>
    Array.from({ length: EVALUATED_S }, (_, index) => WARM_UP_S + index).map(
      (second) => turnsOf(target).filter((turn) => turn.second === second).length,
    ),
  );
  const slowShare = sent.filter(({ target }) => isSlow(target)).length / sent.length;
  const busiestToMean = Math.max(...work) / mean(work);
  // Near 1 if each second's turns are spread at random, and far above if targets take turns.
  const dispersion = mean(counts.map((value) => (value - mean(counts)) ** 2)) / mean(counts);
  return [slowShare, busiestToMean, dispersion];
}

describe('TargetLoads', () => {
  test('slow engines get few turns, and the others get even shares from second to second', async () => {
    const [slowBefore, busiestBefore] = await playLoad(false);
    const [slowAfter, busiestAfter, dispersion] = await playLoad(true);
    expect(slowBefore).toBeGreaterThan(0.2);
    expect(slowAfter).toBeLessThan(0.1);
    expect(busiestAfter).toBeLessThan(0.85 * busiestBefore);
    expect(dispersion).toBeLessThan(1.3);
  });

  // A dead collector was asked forever, a view stayed in use for good, or idle VMs sent reports.
  test('another VM collects when the collector is silent; idle VMs send nothing and lose their view', async () => {
    const fleet = createFleet(20);
    const { collector, loads, messages: sent, registries } = fleet;
    fleet.silent.add(collector);
    await fleet.play(20);
    expect(sent.length).toBeLessThanOrEqual(20 * 20);
    // Each of the 19 other VMs tries the collector at most every 2 s.
    expect(sent.filter((name) => name === collector).length).toBeLessThanOrEqual(19 * 10);
    loads.forEach((vmLoads) => expect(vmLoads.current().size).toBeGreaterThan(0));
    // A new process does not inherit the weight of its predecessor.
    const other = collector === 'vm-0' ? 1 : 0;
    const [slow] = [...loads[other]!.current()].find(([, weight]) => weight < 0.3)!;
    registries[other]!.update(fixtures.createTarget(slow, { incarnation: '2' }));
    expect(loads[other]!.current().has(slow)).toBe(false);
    await fleet.play(4, 0);
    const { length } = sent;
    await fleet.play(5.2, 0);
    expect(sent).toHaveLength(length);
    loads.forEach((vmLoads) => expect(vmLoads.current().size).toBe(0));
  });

  // One missed response replaced the view by that of a collector without data, so that placements
  // moved to slow targets for a second and back.
  test('a view is kept until it expires when another collector responds, and replaced by the same one', async () => {
    const { loads, report, views } = createReporter();
    const keys = (): readonly string[] => [...loads.current().keys()];
    const reportAll = async (...responses: typeof views): Promise<void> => {
      views.push(...responses);
      while (views.length > 0) await report();
    };
    await reportAll([load('target-0', 2), load('target-1', 2)]);
    expect(keys()).toEqual(['target-0', 'target-1']);
    await reportAll([load('target-1', 2)]);
    expect(keys()).toEqual(['target-1']);
    await reportAll(undefined, [load('target-2', 2)]);
    expect(keys()).toEqual(['target-1', 'target-2']);
    await reportAll(undefined, []);
    expect(keys()).toEqual(['target-1']);
    await reportAll([load('target-3', 2)]);
    expect(keys()).toEqual(['target-3']);
    await reportAll(undefined, [], undefined, [], undefined);
    expect(keys()).toEqual(['target-3']);
    await reportAll([]);
    expect(keys()).toEqual([]);
  });

  // A busy target kept its weight, or a new process got the weight of its predecessor.
  test.each([
    { reported: load('target-0', 1, 1), weight: 1 },
    { reported: load('target-0', 1, 3), weight: 0.5 },
    { reported: load('target-0', 1, 4), weight: 0.1 },
    { reported: load('target-0', 2, 3), weight: 0.0625 },
    { reported: load('target-0', 2, 0, 'another process'), weight: undefined },
    { reported: load('unknown', 2), weight: undefined },
  ])('the weight is $weight for $reported', async ({ reported, weight }) => {
    const { loads, report, views } = createReporter([fixtures.createTarget('target-0')]);
    views.push([reported]);
    await report();
    expect(loads.current().get(reported.target)).toBe(weight);
  });

  // Guards against targets that stay busy at the collector after requests that gave no sample.
  test('after the end of the last request one empty report is sent, then none', async () => {
    const { report, reports, wait } = createReporter();
    await report();
    for (let waits = 0; waits < 4; waits += 1) await wait();
    const inFlight = [{ target: 'target-0', count: 1 }];
    expect(reports).toEqual([
      { samples: [], inFlight },
      { samples: [], inFlight: [] },
    ]);
  });

  // Each of these would distort the medians or grow the state of a collector.
  const sample = { target: 'one', incarnation: '1', value: 20, kind: 'stream' };
  test.each([
    ['a negative value', { samples: [{ ...sample, value: -1 }] }],
    ['an excessive value', { samples: [{ ...sample, value: 1e300 }] }],
    ['an unknown kind', { samples: [{ ...sample, kind: 'other' }] }],
    ['a long id', { samples: [{ ...sample, target: 'x'.repeat(201) }] }],
    ['too many samples', { samples: Array(33).fill(sample) }],
    ['a fraction of a request', { inFlight: [{ target: 'one', count: 1.5 }] }],
  ])('a report with %s is rejected', (_what, change) => {
    const { request } = messages.TARGET_LOADS;
    const report = { samples: [sample], inFlight: [{ target: 'one', count: 1 }] };
    expect(request.safeParse(report).success).toBe(true);
    expect(request.safeParse({ ...report, ...change }).success).toBe(false);
  });
});

function mean(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0) / values.length;
}

/** A linear congruential generator. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
