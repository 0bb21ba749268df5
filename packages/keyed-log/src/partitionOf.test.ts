import * as jestGlobals from '@jest/globals';
import * as partitionOf from './partitionOf.js';

const { describe, expect, test } = jestGlobals;

/** Two pairs of items have the same name, so that their hashes tie. */
const ITEMS = Array.from({ length: 30 }, (_, index) => ({ index, name: `item-${index % 28}` }));
const KEYS = Array.from({ length: 1_000 }, (_, index) => `key-${index}`);
const nameOf = ({ name }: { readonly name: string }): string => name;

describe('rankByWeightedRendezvous', () => {
  // Another order would move all programs when a release with weights is installed.
  test.each([1, 0.1, 0.3])('has the order without weights if all are %d', (weight) => {
    KEYS.forEach((key) =>
      expect(partitionOf.rankByWeightedRendezvous(key, ITEMS, nameOf, () => weight)).toEqual(
        partitionOf.rankByRendezvous(key, ITEMS, nameOf),
      ),
    );
  });

  // If weights reordered all items, every program would lose the cache of its engine.
  test('moves only keys of the item whose weight falls, in proportion to it', () => {
    const weightOf = ({ index }: { index: number }): number => (index === 5 ? 0.25 : 1);
    const had = KEYS.filter(
      (key) => partitionOf.rankByRendezvous(key, ITEMS, nameOf)[0] === ITEMS[5],
    );
    const moved = KEYS.filter((key) => {
      const [first] = partitionOf.rankByWeightedRendezvous(key, ITEMS, nameOf, weightOf);
      return first !== partitionOf.rankByRendezvous(key, ITEMS, nameOf)[0];
    });
    expect(had).toEqual(expect.arrayContaining(moved));
    expect(Math.abs(moved.length / had.length - 0.75)).toBeLessThan(0.1);
  });
});
