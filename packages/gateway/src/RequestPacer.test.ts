import * as jestGlobals from '@jest/globals';
import * as requestPacer from './RequestPacer.js';

const { describe, expect, test } = jestGlobals;

describe('RequestPacer', () => {
  // Guards against turns that are saved up while nobody asks and then granted all at once.
  test('grants turns at its rate, and makes up for little', () => {
    const pacer = new requestPacer.RequestPacer(10, 0);
    const granted = Array.from({ length: 400 }, (_, index) => pacer.take(index * 10, 0)).filter(
      ({ isGranted }) => isGranted,
    );
    expect(granted).toHaveLength(40);
    const later = Array.from({ length: 10 }, () => pacer.take(60_000, 0).isGranted);
    expect(later.filter((isGranted) => isGranted)).toHaveLength(2);
  });

  // Guards against calls that wait for the same turn.
  test('gives those that may wait one turn after the other', () => {
    const pacer = new requestPacer.RequestPacer(10, 0);
    const waits = Array.from({ length: 5 }, () => pacer.take(0, 250));
    expect(waits.map(({ waitMs }) => waitMs)).toEqual([0, 100, 200, 300, 300]);
    expect(waits.map(({ isGranted }) => isGranted)).toEqual([true, true, true, false, false]);
  });
});
