import * as jestGlobals from '@jest/globals';
import * as manualClock from './ManualClock.js';

const { describe, expect, test } = jestGlobals;

describe('ManualClock', () => {
  test('wakes a sleeper when it is due', async () => {
    const clock = new manualClock.ManualClock();
    let woken = false;
    const sleep = clock.sleep(10).then(() => {
      woken = true;
    });
    clock.advance(9);
    await Promise.resolve();
    expect(woken).toBe(false);
    clock.advance(1);
    await sleep;
    expect(woken).toBe(true);
  });
});
