import * as jestGlobals from '@jest/globals';
import * as foreignTurns from './ForeignTurns.js';

const { describe, expect, test } = jestGlobals;

const RETENTION_MS = 60_000;
const THIRD_MS = 20_000;

/** More than the time between two messages to one VM. */
const RETRY_MS = 1_000;

describe('ForeignTurns', () => {
  test('a VM is told when its turn is a third of its retention old', () => {
    const turns = new foreignTurns.ForeignTurns();
    expect(need(turns, 't1', 0, 0)).toBe(false);
    expect(turns.takeDue(THIRD_MS - 1)).toEqual([]);
    expect(turns.takeDue(THIRD_MS)).toEqual([
      { writer: 'a', turns: [{ id: 't1', neededFrom: 0, spanMs: RETENTION_MS - THIRD_MS }] },
    ]);
  });

  test('a VM is told at once of an old turn, together with its young turns', () => {
    const turns = new foreignTurns.ForeignTurns();
    expect(need(turns, 'young', 1_000, 50_000)).toBe(false);
    expect(need(turns, 'old', THIRD_MS, 50_000)).toBe(true);
    expect(named(turns.takeDue(50_000))).toEqual(['young', 'old']);
  });

  test('a VM is told again until it has taken it, with what is left of the time', () => {
    const turns = new foreignTurns.ForeignTurns();
    need(turns, 't1', THIRD_MS, 0);
    const [first] = turns.takeDue(0);
    expect(turns.takeDue(RETRY_MS - 1)).toEqual([]);
    expect(turns.takeDue(RETRY_MS)[0]?.turns[0]?.spanMs).toBe(RETENTION_MS - RETRY_MS);
    turns.noteTaken(first!);
    expect(turns.takeDue(5 * RETRY_MS)).toEqual([]);
  });

  test('a VM that does not answer is told less and less often, and at once again when it has', () => {
    const turns = new foreignTurns.ForeignTurns();
    need(turns, 't1', THIRD_MS, 0);
    const times = Array.from({ length: 20 }, (_, second) => second * RETRY_MS);
    const told = times.filter((now) => turns.takeDue(now).length > 0);
    expect(told).toEqual([0, 1_000, 3_000, 7_000, 11_000, 15_000, 19_000]);
    const [taken] = turns.takeDue(23_000);
    turns.noteTaken(taken!);
    need(turns, 't2', THIRD_MS, 24_000);
    expect(named(turns.takeDue(24_000))).toEqual(['t2']);
  });

  test('a turn that is needed again after it was told is told a third of its retention later', () => {
    const turns = new foreignTurns.ForeignTurns();
    need(turns, 't1', THIRD_MS, 0);
    turns.noteTaken(turns.takeDue(0)[0]!);
    for (let now = 3_000; now < THIRD_MS; now += 3_000) {
      expect(need(turns, 't1', THIRD_MS + now, now)).toBe(false);
      expect(turns.takeDue(now)).toEqual([]);
    }
    expect(turns.takeDue(THIRD_MS)[0]?.turns[0]?.spanMs).toBe(18_000 + RETENTION_MS - THIRD_MS);
  });

  test('what was needed again while a message was under way is told later', () => {
    const turns = new foreignTurns.ForeignTurns();
    need(turns, 't1', THIRD_MS, 0);
    const [first] = turns.takeDue(0);
    need(turns, 't1', THIRD_MS, 500);
    turns.noteTaken(first!);
    expect(named(turns.takeDue(THIRD_MS))).toEqual(['t1']);
  });

  test('a turn whose age seems to be nothing is told as well', () => {
    const turns = new foreignTurns.ForeignTurns();
    need(turns, 't1', 0, 7_000);
    expect(turns.forgetOver(7_000 + THIRD_MS)).toEqual([]);
    expect(named(turns.takeDue(7_000 + THIRD_MS))).toEqual(['t1']);
  });

  test('is empty when all that was told is over, and says what could not be told', () => {
    const turns = new foreignTurns.ForeignTurns();
    need(turns, 't1', THIRD_MS, 0);
    turns.noteTaken(turns.takeDue(0)[0]!);
    need(turns, 't2', THIRD_MS, 0, 'b');
    expect(turns.forgetOver(THIRD_MS)).toEqual([]);
    expect(turns.isEmpty).toBe(false);
    expect(named(turns.forgetOver(RETENTION_MS))).toEqual(['t2']);
    expect(turns.isEmpty).toBe(true);
  });
});

function need(
  turns: foreignTurns.ForeignTurns,
  id: string,
  ageMs: number,
  now: number,
  writer = 'a',
): boolean {
  return turns.need({ id, writer, ageMs }, RETENTION_MS, now);
}

function named(due: readonly foreignTurns.DueTurns[]): readonly string[] {
  return due.flatMap(({ turns }) => turns.map(({ id }) => id));
}
