import * as jestGlobals from '@jest/globals';
import * as retainedTurns from './RetainedTurns.js';

const { describe, expect, test } = jestGlobals;

describe('RetainedTurns', () => {
  test('returns each turn once, when its retention is over', () => {
    const retained = createTurns();
    expect(retained.takeExpired(999, 10)).toEqual([]);
    expect(ids(retained.takeExpired(1_000, 10))).toEqual(['t1']);
    expect(ids(retained.takeExpired(2_000, 10))).toEqual(['t2']);
    expect(retained.takeExpired(9_000, 10)).toEqual([]);
  });

  test('returns at most the given number of turns, and the rest later', () => {
    const retained = createTurns();
    expect(ids(retained.takeExpired(2_000, 1))).toEqual(['t1']);
    expect(ids(retained.takeExpired(2_000, 1))).toEqual(['t2']);
  });

  test('extends the retention of a turn, and never shortens it', () => {
    const retained = createTurns();
    expect(retained.extend('t1', 3_000)).toBe(true);
    expect(retained.extend('t1', 500)).toBe(true);
    expect(ids(retained.takeExpired(2_999, 10))).toEqual(['t2']);
    expect(ids(retained.takeExpired(3_000, 10))).toEqual(['t1']);
  });

  test('does not extend a turn that it does not hold or no longer holds', () => {
    const retained = createTurns();
    expect(retained.extend('another', 3_000)).toBe(false);
    retained.takeExpired(1_000, 10);
    expect(retained.extend('t1', 3_000)).toBe(false);
    expect(ids(retained.takeExpired(9_000, 10))).toEqual(['t2']);
  });

  test('a turn with a short retention does not wait for one with a long retention', () => {
    const retained = createTurns();
    retained.add({ id: 'short', size: 1 }, 500);
    expect(ids(retained.takeExpired(500, 10))).toEqual(['short']);
  });
});

function createTurns(): retainedTurns.RetainedTurns {
  const retained = new retainedTurns.RetainedTurns();
  retained.add({ id: 't1', size: 10 }, 1_000);
  retained.add({ id: 't2', size: 20 }, 2_000);
  return retained;
}

function ids(turns: readonly retainedTurns.RetainedTurn[]): readonly string[] {
  return turns.map(({ id }) => id);
}
