import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as targetRegistry from './TargetRegistry.js';
import * as targetScores from './TargetScores.js';
import * as targetWatch from './TargetWatch.js';
import * as fixtures from './testing/gatewayFixtures.js';

const { describe, expect, test } = jestGlobals;

const TARGETS = Array.from({ length: 12 }, (_, index) => `target-${index}`);

interface TestVm {
  readonly scores: targetScores.TargetScores;
  readonly registry: targetRegistry.TargetRegistry;
  readonly watch: targetWatch.TargetWatch;
}

interface TestFleet {
  readonly vms: readonly TestVm[];
  readonly time: clock.ManualClock;
  readonly counters: { sent: number };
}

describe('TargetWatch', () => {
  // Replays a target that resets what it is sent in a fleet in which each VM calls it only now and
  // then: all VMs lost a call to it before they avoided it.
  test('all VMs avoid a target once two VMs have seen it fail', async () => {
    const { vms } = createFleet(76);
    vms[3]!.scores.recordFailure('target-5');
    await settleMessages();
    expect(countAvoiding(vms, 'target-5')).toBe(1);
    vms[40]!.scores.recordFailure('target-5');
    await settleMessages();
    expect(countAvoiding(vms, 'target-5')).toBe(vms.length);
    expect(countAvoiding(vms, 'target-6')).toBe(0);
  });

  test('the failures that one VM sees are its own affair', async () => {
    const { time, vms } = createFleet(20);
    for (let failure = 0; failure < 10; failure += 1) {
      vms[3]!.scores.recordFailure('target-5');
      time.advance(400);
      await settleMessages();
    }
    expect(countAvoiding(vms, 'target-5')).toBe(1);
  });

  test('failures that lie far apart are not counted together', async () => {
    const { time, vms } = createFleet(20);
    vms[3]!.scores.recordFailure('target-5');
    await settleMessages();
    time.advance(2_100);
    vms[4]!.scores.recordFailure('target-5');
    await settleMessages();
    expect(countAvoiding(vms, 'target-5')).toBe(2);
  });

  // Replays lost responses at most targets of a pool: if all of them were avoided, the others would
  // be overloaded.
  test('at most a quarter of a pool is suspected', async () => {
    const { vms } = createFleet(20);
    for (const target of TARGETS) {
      vms[3]!.scores.recordFailure(target);
      vms[4]!.scores.recordFailure(target);
    }
    await settleMessages();
    const others = vms.filter((_, index) => index !== 3 && index !== 4);
    const avoidedBy = others.map((vm) =>
      TARGETS.filter((target) => countAvoiding([vm], target) > 0),
    );
    avoidedBy.forEach((avoided) => expect(avoided).toHaveLength(3));
  });

  test('a target that fails continuously costs a bounded number of messages', async () => {
    const { counters, time, vms } = createFleet(200);
    for (let round = 0; round < 40; round += 1) {
      vms.forEach(({ scores }) => scores.recordFailure('target-5'));
      time.advance(50);
      await settleMessages();
    }
    // In two seconds each VM reports seven times to two collectors, which each notify all VMs at
    // most every half second.
    expect(counters.sent).toBeLessThanOrEqual(200 * (7 * 2 + 2 * 5));
  });
});

/** Creates VMs that know the same targets and whose messages to each other arrive at once. */
function createFleet(count: number): TestFleet {
  const time = new clock.ManualClock();
  const counters = { sent: 0 };
  const handlers = new Map<string, (request: unknown, from: unknown) => unknown>();
  const members = Array.from({ length: count }, (_, index) => ({
    name: `vm-${index}`,
    address: `vm-${index}`,
  }));
  const logger = new logging.PartLogger('test');
  const vms = members.map((self) => {
    const network = {
      self,
      serve: (method: { name: string }, handler: (request: unknown, from: unknown) => unknown) => {
        handlers.set(`${self.address} ${method.name}`, handler);
        return { dispose: () => undefined };
      },
      request: async (address: string, method: { name: string }, request: unknown) => {
        counters.sent += 1;
        return handlers.get(`${address} ${method.name}`)?.(request, self);
      },
    } as unknown as wire.PeerNetwork;
    const registry = new targetRegistry.TargetRegistry({
      clock: time,
      logger,
      listUnreliableUntil: () => 0,
    });
    registry.reset(TARGETS.map((id) => fixtures.createTarget(id)));
    const scores = new targetScores.TargetScores(time);
    const available = (): readonly membership.Member[] =>
      members as unknown as readonly membership.Member[];
    const vmMembership = { available };
    const watch = new targetWatch.TargetWatch({
      network,
      membership: vmMembership,
      registry,
      scores,
      clock: time,
      logger,
    });
    return { scores, registry, watch };
  });
  return { vms, time, counters };
}

function countAvoiding(vms: readonly TestVm[], target: string): number {
  return vms.filter(({ scores }) => scores.compare([target]).get(target)!.isOnProbation).length;
}

async function settleMessages(): Promise<void> {
  for (let step = 0; step < 40; step += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
