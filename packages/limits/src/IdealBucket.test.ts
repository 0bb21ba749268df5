import * as jestGlobals from '@jest/globals';
import * as comparison from './testing/compareWithIdealBucket.js';

const { describe, expect, test } = jestGlobals;

const MAXIMUM_EXCESS_SHARE = 0.001;
const MAXIMUM_REFUSED_SHARE_AFTER_KILL = 0.01;

/** A linear congruential generator with a fixed seed. */
function createRandom(): () => number {
  let state = 20_261_204;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

describe('fleet limits', () => {
  test.each([
    { ratePerSecond: 100, burst: 20, load: 0.7, together: 1, skew: 0 },
    { ratePerSecond: 100, burst: 5, load: 0.5, together: 1, skew: 0.9 },
    { ratePerSecond: 100, burst: 40, load: 1.5, together: 3, skew: 0 },
  ])('refuse no more than an ideal bucket when nothing fails: %j', async (load) => {
    const durationMs = 8_000;
    const random = createRandom();
    const result = await comparison.compareWithIdealBucket({ ...load, durationMs, random });
    const excess = result.refused - result.refusedByIdeal;
    expect(result.unanswered).toBe(0);
    expect(excess / result.requests).toBeLessThanOrEqual(MAXIMUM_EXCESS_SHARE);
    expect(result.requests).toBeGreaterThan(300);
  });

  test('refuse few requests when the owner crashes and is replaced two seconds later', async () => {
    const result = await comparison.compareWithIdealBucket({
      ratePerSecond: 100,
      burst: 20,
      load: 0.7,
      together: 1,
      skew: 0,
      durationMs: 10_000,
      random: createRandom(),
      disturb: (fleet, now) => {
        if (now === 2_000) fleet.kill(0);
        if (now === 4_000) fleet.claimAndRead(1, 2);
      },
    });
    expect(result.unanswered).toBe(0);
    expect(result.refused / result.requests).toBeLessThanOrEqual(MAXIMUM_REFUSED_SHARE_AFTER_KILL);
  });
});
