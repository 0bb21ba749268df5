import * as jestGlobals from '@jest/globals';
import * as manualClock from './ManualClock.js';
import * as withinModule from './withTimeout.js';

const { describe, expect, test } = jestGlobals;

describe('within', () => {
  test('returns the value of a promise that settles in time', async () => {
    const time = new manualClock.ManualClock();
    expect(await withinModule.withTimeout(time, 10, Promise.resolve('done'))).toBe('done');
  });

  test('reports that the limit passed when the promise is still pending', async () => {
    const time = new manualClock.ManualClock();
    const waiting = withinModule.withTimeout(time, 10, new Promise<never>(() => {}));
    time.advance(10);
    expect(await waiting).toBe(withinModule.LIMIT_PASSED);
  });

  test('rejects when the promise rejects', async () => {
    const time = new manualClock.ManualClock();
    const work = Promise.reject(new Error('broken'));
    await expect(withinModule.withTimeout(time, 10, work)).rejects.toThrow('broken');
  });
});
