import * as jestGlobals from '@jest/globals';
import * as manualClock from './ManualClock.js';
import * as withTimeout from './withTimeout.js';

const { describe, expect, test } = jestGlobals;

describe('withTimeout', () => {
  test('returns the value of a promise that settles in time', async () => {
    const time = new manualClock.ManualClock();
    expect(await withTimeout.withTimeout(time, 10, Promise.resolve('done'))).toBe('done');
  });

  test('reports that the limit passed when the promise is still pending', async () => {
    const time = new manualClock.ManualClock();
    const waiting = withTimeout.withTimeout(time, 10, new Promise<never>(() => {}));
    time.advance(10);
    expect(await waiting).toBe(withTimeout.TIMED_OUT);
  });

  test('rejects when the promise rejects', async () => {
    const time = new manualClock.ManualClock();
    const work = Promise.reject(new Error('broken'));
    await expect(withTimeout.withTimeout(time, 10, work)).rejects.toThrow('broken');
  });
});
