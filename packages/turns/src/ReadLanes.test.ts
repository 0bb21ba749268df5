import * as jestGlobals from '@jest/globals';
import * as readLanes from './ReadLanes.js';

const { expect, test } = jestGlobals;

test('reads run side by side up to the number of lanes, in their order, also when one fails', async () => {
  const lanes = new readLanes.ReadLanes(2);
  const begun: number[] = [];
  let running = 0;
  let most = 0;
  const read = async (index: number): Promise<number> => {
    begun.push(index);
    running += 1;
    most = Math.max(most, running);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    running -= 1;
    if (index === 1) throw new Error('failed');
    return index;
  };
  const results = await Promise.allSettled(
    [0, 1, 2, 3, 4].map((index) => lanes.run(() => read(index))),
  );
  expect(results.map(({ status }) => status === 'fulfilled')).toEqual([
    true,
    false,
    true,
    true,
    true,
  ]);
  expect(begun).toEqual([0, 1, 2, 3, 4]);
  expect(most).toBe(2);
});
