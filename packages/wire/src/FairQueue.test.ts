import * as jestGlobals from '@jest/globals';
import * as fairQueue from './FairQueue.js';

const { describe, expect, test } = jestGlobals;

function takeAll(queue: fairQueue.FairQueue<string>): string {
  let order = '';
  while (queue.size > 0) order += queue.take();
  return order;
}

// Replays many busy connections beside a few that need a turn now and then.
describe('FairQueue', () => {
  test('items that seldom need a turn go before those that need many', () => {
    const queue = new fairQueue.FairQueue<string>();
    ['x', 'y', 'z'].forEach((item) => queue.addBacklogged(item));
    ['a', 'b'].forEach((item) => queue.addSparse(item));
    expect(takeAll(queue)).toBe('abxyz');
  });

  test('busy items are not kept waiting for good', () => {
    const queue = new fairQueue.FairQueue<string>();
    ['x', 'y'].forEach((item) => queue.addBacklogged(item));
    [...'abcdefg'].forEach((item) => queue.addSparse(item));
    expect(takeAll(queue)).toBe('abcxdefyg');
  });

  test('an item that is removed gets no turn', () => {
    const queue = new fairQueue.FairQueue<string>();
    ['a', 'b'].forEach((item) => queue.addSparse(item));
    queue.addBacklogged('x');
    ['a', 'x'].forEach((item) => queue.remove(item));
    expect([queue.has('a'), queue.has('b'), takeAll(queue)]).toEqual([false, true, 'b']);
  });
});
