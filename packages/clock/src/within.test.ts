import * as jestGlobals from '@jest/globals';
import * as manualClock from './ManualClock.js';
import * as withinModule from './within.js';

const { describe, expect, test } = jestGlobals;

describe('within', () => {
  test('brings what the work brings in time', async () => {
    const time = new manualClock.ManualClock();
    expect(await withinModule.within(time, 10, Promise.resolve('done'))).toBe('done');
  });

  test('brings nothing when the time is over before', async () => {
    const time = new manualClock.ManualClock();
    const waiting = withinModule.within(time, 10, new Promise<never>(() => {}));
    time.advance(10);
    expect(await waiting).toBe(withinModule.LIMIT_PASSED);
  });

  test('fails as the work fails', async () => {
    const time = new manualClock.ManualClock();
    const work = Promise.reject(new Error('broken'));
    await expect(withinModule.within(time, 10, work)).rejects.toThrow('broken');
  });
});
