import * as jestGlobals from '@jest/globals';
import * as partitionOf from './partitionOf.js';

const { describe, expect, test } = jestGlobals;

const ITEMS = Array.from({ length: 30 }, (_, index) => `item-${index % 28}`);
const KEYS = Array.from({ length: 4_000 }, (_, index) => `key-${index}`);

function firstOf(key: string, weights: ReadonlyMap<string, number>): string {
  const weightOf = (item: string): number => weights.get(item) ?? 1;
  return partitionOf.rankByWeightedRendezvous(key, ITEMS, (item) => item, weightOf)[0]!;
}

describe('rankByWeightedRendezvous', () => {
  // A different order would move all programs when a release with weights is installed. The items
  // contain two pairs of equal names, whose order is that of the list.
  test.each([1, 0.1, 0.3])('has the order without weights if all are %d', (weight) => {
    const items = ITEMS.map((name, index) => ({ name, index }));
    KEYS.forEach((key) => {
      const weighted = partitionOf.rankByWeightedRendezvous(
        key,
        items,
        ({ name }) => name,
        () => weight,
      );
      expect(weighted).toEqual(partitionOf.rankByRendezvous(key, items, ({ name }) => name));
    });
  });

  test('moves only keys of the item whose weight falls, in proportion to it', () => {
    const before = KEYS.map((key) => firstOf(key, new Map()));
    const after = KEYS.map((key) => firstOf(key, new Map([['item-5', 0.25]])));
    const moved = before.filter((item, index) => item !== after[index]);
    const had = before.filter((item) => item === 'item-5').length;
    expect(new Set(moved)).toEqual(new Set(['item-5']));
    expect(moved.length / had).toBeGreaterThan(0.65);
    expect(moved.length / had).toBeLessThan(0.85);
  });
});
