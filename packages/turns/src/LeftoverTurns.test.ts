import * as jestGlobals from '@jest/globals';
import * as leftoverTurns from './LeftoverTurns.js';
import type * as turnLog from './TurnLog.js';

const { describe, expect, test } = jestGlobals;

const MARGIN_MS = 5_000;
const KEEP_MS = 60_000;

describe('LeftoverTurns', () => {
  test('an expired turn is needed as long as a turn that is not expired continues it', () => {
    const turns = new leftoverTurns.LeftoverTurns(MARGIN_MS);
    const chain = [createTurn('t1'), createTurn('t2', 't1'), createTurn('t3', 't2')];
    turns.begin(new Set(['t1', 't2']));
    chain.forEach((turn) => turns.add(turn, 0, true));
    expect([...turns.finish(0).confirmed]).toEqual([]);
    turns.begin(new Set(['t1', 't2', 't3']));
    chain.forEach((turn) => turns.add(turn, 1, true));
    expect([...turns.finish(1).confirmed]).toEqual(['t1', 't2', 't3']);
  });

  test('expired turns and turns of ended processes in one chain are removed together', () => {
    const turns = new leftoverTurns.LeftoverTurns(MARGIN_MS);
    const chain = ['t1', 't2', 't3', 't4'].map((id, index) =>
      createTurn(id, index === 0 ? undefined : `t${index}`),
    );
    const list = (now: number): leftoverTurns.Leftovers => {
      turns.begin(new Set(['t1', 't3']));
      chain.forEach((turn, index) => turns.add(turn, now, index % 2 === 0));
      return turns.finish(now);
    };
    const first = list(0);
    expect(first.removable).toEqual([]);
    expect([...first.confirmed]).toEqual([]);
    const last = list(KEEP_MS + MARGIN_MS);
    expect(last.removable.map(({ id }) => id)).toEqual(['t2', 't4']);
    expect([...last.confirmed]).toEqual(['t1', 't3']);
  });

  test('too many turns of ended processes do not keep expired turns in the log', () => {
    const turns = new leftoverTurns.LeftoverTurns(MARGIN_MS, 10);
    turns.begin(new Set(['t1', 't2']));
    turns.add(createTurn('t1'), 0, true);
    turns.add(createTurn('t2'), 0, true);
    turns.add(createTurn('needed', 't1'), 0, false);
    for (let index = 0; index < 100; index += 1) turns.add(createTurn(`left-${index}`), 0, false);
    const found = turns.finish(KEEP_MS + MARGIN_MS);
    expect(found.isTooLarge).toBe(true);
    expect(found.removable).toEqual([]);
    expect([...found.confirmed]).toEqual(['t2']);
  });
});

function createTurn(id: string, previous?: string): turnLog.MarkedTurn {
  return { id, previous, process: 'a.1', keepMs: KEEP_MS, partCount: 0 };
}
