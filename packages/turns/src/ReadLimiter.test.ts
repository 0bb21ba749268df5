import * as jestGlobals from '@jest/globals';
import * as readLimiter from './ReadLimiter.js';

const { expect, test } = jestGlobals;

test('runs reads concurrently up to the limit, in their order, also when one fails', async () => {
  const limiter = new readLimiter.ReadLimiter(2);
  const started: number[] = [];
  let running = 0;
  let maximumRunning = 0;
  const read = async (index: number): Promise<number> => {
    started.push(index);
    running += 1;
    maximumRunning = Math.max(maximumRunning, running);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    running -= 1;
    if (index === 1) throw new Error('failed');
    return index;
  };
  const results = await Promise.allSettled(
    [0, 1, 2, 3, 4].map((index) => limiter.run(() => read(index))),
  );
  expect(results.map(({ status }) => status === 'fulfilled')).toEqual([
    true,
    false,
    true,
    true,
    true,
  ]);
  expect(started).toEqual([0, 1, 2, 3, 4]);
  expect(maximumRunning).toBe(2);
});
