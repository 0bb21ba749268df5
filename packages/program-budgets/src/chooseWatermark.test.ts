import * as jestGlobals from '@jest/globals';
import * as chooseWatermark from './chooseWatermark.js';

const { describe, expect, test } = jestGlobals;

const { LONG_PLAN, SHORT_PLAN } = chooseWatermark;

const TURN = { committedTokens: 100, coveredTokens: 0, turnTokens: 100, budgetTokens: 1_000 };

describe('chooseWatermark', () => {
  // A wrong threshold would either append for each turn or let programs stall in an outage.
  test.each([
    { name: 'four turns ahead', change: {}, plan: LONG_PLAN, watermark: 500 },
    { name: 'one turn ahead', change: {}, plan: SHORT_PLAN, watermark: 200 },
    { name: 'two covered', change: { coveredTokens: 300 }, plan: LONG_PLAN, watermark: undefined },
    { name: 'too few covered', change: { coveredTokens: 299 }, plan: LONG_PLAN, watermark: 500 },
    { name: 'half of the rest', change: { budgetTokens: 350 }, plan: LONG_PLAN, watermark: 225 },
    { name: 'room for a turn', change: { budgetTokens: 250 }, plan: SHORT_PLAN, watermark: 150 },
    { name: 'last turn', change: { budgetTokens: 150 }, plan: LONG_PLAN, watermark: 100 },
  ])('$name', ({ change, plan, watermark }) => {
    expect(chooseWatermark.chooseWatermark({ ...TURN, ...change }, plan)).toBe(watermark);
  });

  test('turns of VMs of earlier releases, retained turns and all turns without the switch keep the short plan', () => {
    expect(chooseWatermark.choosePlan({ isRetained: false }, true)).toBe(LONG_PLAN);
    expect(chooseWatermark.choosePlan({ isRetained: true }, true)).toBe(SHORT_PLAN);
    expect(chooseWatermark.choosePlan({}, true)).toBe(SHORT_PLAN);
    expect(chooseWatermark.choosePlan({ isRetained: false }, false)).toBe(SHORT_PLAN);
  });
});
