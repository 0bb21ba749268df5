import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as conditionWaiters from './ConditionWaiters.js';

const { describe, expect, test } = jestGlobals;

describe('ConditionWaiters', () => {
  test('resolves at once, or when a check finds that the condition holds', async () => {
    const waiters = new conditionWaiters.ConditionWaiters(new clock.ManualClock());
    expect(await waiters.wait(() => true, 10)).toBe(true);
    let holds = false;
    const waiting = waiters.wait(() => holds, 10);
    waiters.check();
    holds = true;
    waiters.check();
    expect(await waiting).toBe(true);
  });

  test('resolves with false after the timeout when the condition does not hold', async () => {
    const time = new clock.ManualClock();
    const waiting = new conditionWaiters.ConditionWaiters(time).wait(() => false, 10);
    time.advance(10);
    expect(await waiting).toBe(false);
  });
});
