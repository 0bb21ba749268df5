import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as combineHomeRegions from './combineHomeRegions.js';
import * as evacuatedDomains from './EvacuatedDomains.js';
import * as placementRules from './PlacementRules.js';
import * as fixtures from './testing/gatewayFixtures.js';
import * as gatewayStandIns from './testing/gatewayStandIns.js';
import * as recordedReply from './testing/RecordedReply.js';
import type { TargetTransport } from './Types.js';

const { expect, test } = jestGlobals;

const REGIONS = new Map(Object.entries({ a: 'north', b: 'north', c: 'south' }));
const OUTCOMES = ['done', 'lost', 'full', 'silent', 'done', 'done', 'lost'];
const TARGETS = ['a', 'b', 'c', 'a', 'b', 'c'].map((failureDomain, index) =>
  fixtures.createTarget(`t${index}`, { failureDomain }),
);

// Guards against a path to a target that does not apply the rules, and against waits in vain.
test('nothing is sent to evacuated domains, and requests to an evacuated pool end at once', async () => {
  const { evacuated, faults, play, reservations, sent } = createFleet();
  for (const domains of [[], ['a'], ['a', 'b']]) {
    evacuated.reset(domains);
    await play(800);
  }
  evacuated.reset(['a', 'b', 'c']);
  const [reserved, endedBefore] = [reservations(), faults.length];
  await play(200);
  expect(reservations()).toBe(reserved);
  const refused = faults.slice(endedBefore).filter(({ kind }) => kind === 'target-unavailable');
  refused.forEach((fault) => expect(fault).toMatchObject({ run: 'not-run', retryAfterMs: 1_000 }));
  const arrived = refused.filter(({ spanMs }) => spanMs === 0);
  expect(arrived).toHaveLength(40);
  // Requests that waited for a target end, too.
  const waited = new Set(refused.map(({ kindOfCall, spanMs }) => spanMs > 0 && kindOfCall));
  expect(waited).toEqual(new Set([false, 'stream', 'unary']));
  evacuated.reset(['a', 'c']);
  await play(200);
  expect(sent.filter(({ isEvacuated }) => isEvacuated)).toEqual([]);
  expect(sent.at(-1)?.failureDomain).toBe('b');
  // The load contained retries, resumed streams, sends after a refusal and hedged sends.
  ['lost unary', 'lost stream', 'full unary', 'full stream', 'silent unary'].forEach((kind) => {
    expect(sent.filter(({ former }) => former === kind).length).toBeGreaterThan(5);
  });
});

test('home regions of route and workspace both apply, and an unknown domain is in no region', () => {
  const { combineHomeRegions: combine } = combineHomeRegions;
  const workspace = { homeRegions: ['south', 'east'] };
  const both = combine({ homeRegions: ['north', 'south'] }, workspace);
  expect(combine({ homeRegions: [] }, { homeRegions: [] })).toBeUndefined();
  expect(combine({ homeRegions: ['north'] }, workspace)).toEqual(new Set());
  const rules = createRules({ count: 0, has: () => false });
  const allowed = TARGETS.filter((target) => rules.allows(target, both));
  expect(allowed.map(({ failureDomain }) => failureDomain)).toEqual(['c', 'c']);
  expect(rules.allows({ failureDomain: 'unknown' }, new Set(['']))).toBe(false);
  const query = { listed: TARGETS, usable: TARGETS, homeRegions: new Set<string>() };
  expect(rules.excludesPool(query)).toBe(true);
});

// The targets of an evacuated domain drain next. Requests would then wait for their replacement.
test('a pool whose evacuated targets drain is excluded, one with another draining target is not', () => {
  const rules = createRules({ count: 1, has: (name) => name === 'a' });
  const excludes = (listed: typeof TARGETS): boolean =>
    rules.excludesPool({ listed, usable: [], homeRegions: undefined });
  expect([[], TARGETS.slice(0, 1), TARGETS].map(excludes)).toEqual([false, true, false]);
});

function createRules(
  evacuated: Pick<evacuatedDomains.EvacuatedDomains, 'count' | 'has'>,
): placementRules.PlacementRules {
  return new placementRules.PlacementRules({ evacuated, regions: REGIONS });
}

/** VMs on a manual clock, for streams and unary calls. Targets respond, fail or stay silent. */
function createFleet() {
  const time = new clock.ManualClock();
  const logger = new logging.PartLogger('test');
  const options = { clock: time, logger, knownDomains: undefined };
  const evacuated = new evacuatedDomains.EvacuatedDomains(options);
  const sent: { failureDomain: string; isEvacuated: boolean; former: string | undefined }[] = [];
  const faults: { kind: string; kindOfCall: string; spanMs: number }[] = [];
  const outcomes = new Map<string, string>();
  const transport: TargetTransport = {
    send: ({ failureDomain }, { id }, handler) => {
      const isEvacuated = evacuated.has(failureDomain);
      sent.push({ failureDomain, isEvacuated, former: outcomes.get(id) });
      const outcome = OUTCOMES[sent.length % OUTCOMES.length]!;
      outcomes.set(id, `${outcome} ${id.split(' ')[0]}`);
      const timer = time.startTimer(20, () => {
        if (outcome === 'done') fixtures.streamEvents([1, 2], 'end')(handler);
        else if (outcome === 'lost') fixtures.streamEvents([1], 'break')(handler);
        else if (outcome === 'full') fixtures.fail('not-run')(handler);
      });
      return { abort: () => timer.cancel(), pause: () => undefined, resume: () => undefined };
    },
  };
  // Some targets grant turns after a wait, and at times all of them are exhausted.
  const limits = {
    isLimited: ({ id }: { id: string }) => id > 't2',
    exhaustedUntil: () => (time.now() % 400 < 100 ? time.now() + 20 : 0),
    takeTurn: () => time.sleep(30).then(() => ({ isGranted: true, waitMs: 0 })),
  };
  const kinds = ['stream', 'repeatable', 'stream', 'repeatable'] as const;
  const rules = createRules(evacuated);
  const vms = kinds.map((kind) => {
    const changes = { clock: time, limits };
    const dependencies = fixtures.createDependencies(transport, TARGETS, changes, rules);
    const route = { kind, isResumable: true, maximumAttempts: 3 };
    return gatewayStandIns.createGateway(transport, route, dependencies);
  });
  const start = async (step: number): Promise<void> => {
    const reply = new recordedReply.RecordedReply();
    const kindOfCall = step % 2 === 0 ? 'stream' : 'unary';
    const startedAt = time.now();
    const id = `${kindOfCall} ${startedAt}`;
    const call = fixtures.createCall(time, { id, ...gatewayStandIns.turnOf('p') });
    await vms[step % 4]!.gateway.handle(call, reply);
    const spanMs = time.now() - startedAt;
    if (reply.fault !== undefined) faults.push({ ...reply.fault, kindOfCall, spanMs });
  };
  const play = async (durationMs: number): Promise<void> => {
    for (let step = 0; step < durationMs / 5; step += 1) {
      start(step);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      time.advance(5);
    }
  };
  const reservations = (): number => vms.flatMap(({ budgets }) => budgets.timeoutsMs).length;
  return { evacuated, faults, play, reservations, sent };
}
