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
  test('a slow target is assumed to be as fast as another one once its samples expire', () => {
    const time = new clock.ManualClock();
    const target = { name: 'engine-1', failureDomain: 'a', slots: 4 };
    const tracker = new targetTracker.TargetTracker(target as never, time, () => 0.5);
    const other = new callRates.CallRates(time);
    const call = { promptTokens: 100, expectedTokens: 10, program: 'p' } as never;
    tracker.recordCall(report(400));
    other.record(report(10));
    expect(tracker.candidate(call, other).decodeMsPerToken).toBe(400);
    time.advance(5_100);
    other.record(report(10));
    expect(tracker.candidate(call, other).decodeMsPerToken).toBe(10);
    tracker.recordCall(report(10));
    expect(tracker.recentRates).toBeDefined();
  });
});
