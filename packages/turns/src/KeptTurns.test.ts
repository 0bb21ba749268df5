import * as jestGlobals from '@jest/globals';
import * as keptTurns from './KeptTurns.js';

const { describe, expect, test } = jestGlobals;

describe('KeptTurns', () => {
  test('gives out each turn once, when its time is over', () => {
    const kept = createTurns();
    expect(kept.takeExpired(999, 10)).toEqual([]);
    expect(ids(kept.takeExpired(1_000, 10))).toEqual(['t1']);
    expect(ids(kept.takeExpired(2_000, 10))).toEqual(['t2']);
    expect(kept.takeExpired(9_000, 10)).toEqual([]);
  });

  test('gives out so many at once, the rest later', () => {
    const kept = createTurns();
    expect(ids(kept.takeExpired(2_000, 1))).toEqual(['t1']);
    expect(ids(kept.takeExpired(2_000, 1))).toEqual(['t2']);
  });

  test('keeps a turn on, and never shortens its time', () => {
    const kept = createTurns();
    expect(kept.keepOn('t1', 3_000)).toBe(true);
    expect(kept.keepOn('t1', 500)).toBe(true);
    expect(ids(kept.takeExpired(2_999, 10))).toEqual(['t2']);
    expect(ids(kept.takeExpired(3_000, 10))).toEqual(['t1']);
  });

  test('does not keep on what it does not hold, or holds no longer', () => {
    const kept = createTurns();
    expect(kept.keepOn('another', 3_000)).toBe(false);
    kept.takeExpired(1_000, 10);
    expect(kept.keepOn('t1', 3_000)).toBe(false);
    expect(ids(kept.takeExpired(9_000, 10))).toEqual(['t2']);
  });

  test('a turn of a short retention does not wait for one of a long retention', () => {
    const kept = createTurns();
    kept.add({ id: 'short', size: 1 }, 500);
    expect(ids(kept.takeExpired(500, 10))).toEqual(['short']);
  });
});

function createTurns(): keptTurns.KeptTurns {
  const kept = new keptTurns.KeptTurns();
  kept.add({ id: 't1', size: 10 }, 1_000);
  kept.add({ id: 't2', size: 20 }, 2_000);
  return kept;
}

function ids(turns: readonly keptTurns.KeptTurn[]): readonly string[] {
  return turns.map(({ id }) => id);
}
