import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as callRates from './CallRates.js';
import * as targetTracker from './TargetTracker.js';
import type { CallReport } from './Types.js';

const { describe, expect, test } = jestGlobals;

function report(tokenMs: number): CallReport {
  const usage = { promptTokens: 100, cachedTokens: 0, generatedTokens: 11 };
  return { firstTokenMs: tokenMs, totalMs: 11 * tokenMs, usage } as CallReport;
}

describe('TargetTracker', () => {
  test('a target that was slow is taken for as fast as another one once that is long ago', () => {
    const time = new clock.ManualClock();
    const target = { name: 'engine-1', failureDomain: 'a', slots: 4 };
    const tracker = new targetTracker.TargetTracker(target as never, time, () => 0.5);
    const other = new callRates.CallRates(time);
    const call = { promptTokens: 100, expectedTokens: 10, program: 'p' } as never;
    tracker.learnCall(report(400));
    other.learn(report(10));
    expect(tracker.candidate(call, other).decodeMsPerToken).toBe(400);
    time.advance(5_100);
    other.learn(report(10));
    expect(tracker.candidate(call, other).decodeMsPerToken).toBe(10);
    tracker.learnCall(report(10));
    expect(tracker.learnedRates).toBeDefined();
  });
});
