import * as jestGlobals from '@jest/globals';
import * as limitedFleet from './testing/LimitedFleet.js';

const { describe, expect, test } = jestGlobals;

const LIMIT = { ratePerSecond: 40, burst: 40 };
const LOWERED_LIMIT = { ratePerSecond: 10, burst: 10 };
const WINDOW_MS = 5_000;
const TOLERATED_REQUESTS = 20;
const VM_COUNT = 13;

describe('AllowanceClient', () => {
  // A rejected retry of a running program wastes the tokens that the program has used.
  test('a surge wastes fewer tokens and finishes more programs if owners recognize running programs', async () => {
    const before = await replaySurge({ vmCount: 61 });
    const after = await replaySurge({
      vmCount: 61,
      random: createRandom(7),
      namesPrograms: true,
    });
    expect(after.finishedPrograms).toBeGreaterThan(before.finishedPrograms);
    expect(after.wastedTokens).toBeLessThan(before.wastedTokens / 4);
  });

  // Guards against VMs that each admit a request while the owner of a small limit is away, so that all
  // together exceed it.
  test.each([
    { vmCount: 10, rate: 4 },
    { vmCount: 61, rate: 4 },
    { vmCount: 400, rate: 4 },
    { vmCount: 61, rate: 40 },
  ])(
    '$vmCount VMs that cannot reach the owner of a limit of $rate a second stay within it',
    async ({ rate, vmCount }) => {
      const limit = { ratePerSecond: rate, burst: rate };
      const fleet = new limitedFleet.LimitedFleet(limit, { vmCount });
      let next = 0;
      const sendNext = (): void => {
        fleet.call((next += 1));
      };
      await fleet.run(6_000, sendNext);
      fleet.isolated = [fleet.owner.name];
      const isolatedAt = fleet.time.now();
      await fleet.run(6_000, sendNext);
      expect(fleet.maximumWithin(WINDOW_MS)).toBeLessThanOrEqual(bound(limit));
      expect(fleet.maximumWithin(WINDOW_MS, isolatedAt + 2_000)).toBeGreaterThan(0);
      fleet.removeOwner();
      await fleet.run(6_000, sendNext);
      expect(fleet.maximumWithin(WINDOW_MS)).toBeLessThanOrEqual(bound(limit));
    },
  );

  // Grants of two owners, deputies' shares and prefetched tokens add up in one window.
  test('any load stays within the tolerance across an owner change and a lowered limit', async () => {
    const fleet = createFleet({ vmCount: VM_COUNT, namesPrograms: true });
    let sent = 0;
    const sendMany = (): void => {
      for (let vm = 0; vm < VM_COUNT; vm += 1) fleet.call(vm, `p-${(sent += 1) % 40}`);
    };
    // Prefetched tokens require a light load on a full bucket.
    const sendFew = (): void => {
      if (fleet.time.now() % 1_000 === 0) sendMany();
    };
    await fleet.run(8_000, sendFew);
    await fleet.run(7_000, sendMany);
    fleet.isolated = ['vm-1', 'vm-2', 'vm-3', fleet.owner.name];
    await fleet.run(800, sendMany);
    fleet.removeOwner();
    await fleet.run(12_000, sendMany);
    fleet.isolated = [];
    const loweredAt = fleet.time.now();
    fleet.limit = LOWERED_LIMIT;
    await fleet.run(12_000, sendMany);
    expect(fleet.maximumWithin(WINDOW_MS)).toBeLessThanOrEqual(bound(LIMIT));
    expect(fleet.maximumWithin(WINDOW_MS, loweredAt)).toBeLessThanOrEqual(bound(LOWERED_LIMIT));
  });
});

/** Programs arrive at 0.6 of the limit, and at 4.5 times that rate for 5 s. */
async function replaySurge(
  options: limitedFleet.LimitedFleetOptions,
): Promise<limitedFleet.LimitedFleet> {
  const fleet = createFleet(options);
  const random = createRandom(1);
  let programs = 0;
  await fleet.run(35_000, () => {
    const now = fleet.time.now();
    const surge = now >= 8_000 && now < 13_000 ? 4.5 : 1;
    if (now > 18_000 || random() > 0.0048 * surge) return;
    programs += 1;
    fleet.runProgram(programs);
  });
  return fleet;
}

function createFleet(options: limitedFleet.LimitedFleetOptions): limitedFleet.LimitedFleet {
  return new limitedFleet.LimitedFleet(LIMIT, options);
}

/** A linear congruential generator, so that both runs see the same arrivals. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) % 2 ** 32;
    return Math.abs(state) / 2 ** 32;
  };
}

function bound({ burst, ratePerSecond }: typeof LIMIT): number {
  return (ratePerSecond * (WINDOW_MS / 1_000) + burst) * 1.1 + TOLERATED_REQUESTS;
}
