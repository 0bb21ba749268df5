import * as jestGlobals from '@jest/globals';
import * as retentionExtensions from './RetentionExtensions.js';

const { describe, expect, test } = jestGlobals;

const RETENTION_MS = 60_000;
const THIRD_MS = 20_000;

/** Time between two requests to one VM that has not responded. */
const RETRY_MS = 1_000;

describe('RetentionExtensions', () => {
  test('requests an extension when a turn has reached a third of its retention', () => {
    const turns = new retentionExtensions.RetentionExtensions();
    expect(addRequirement(turns, 't1', 0, 0)).toBe(false);
    expect(turns.takeDue(THIRD_MS - 1)).toEqual([]);
    expect(turns.takeDue(THIRD_MS)).toEqual([
      { writer: 'a', turns: [{ id: 't1', neededFrom: 0, spanMs: RETENTION_MS - THIRD_MS }] },
    ]);
  });

  test('requests an extension of an old turn at once, together with the young turns of that VM', () => {
    const turns = new retentionExtensions.RetentionExtensions();
    expect(addRequirement(turns, 'young', 1_000, 50_000)).toBe(false);
    expect(addRequirement(turns, 'old', THIRD_MS, 50_000)).toBe(true);
    expect(turnIds(turns.takeDue(50_000))).toEqual(['young', 'old']);
  });

  test('repeats a request with the remaining time until it is acknowledged', () => {
    const turns = new retentionExtensions.RetentionExtensions();
    addRequirement(turns, 't1', THIRD_MS, 0);
    const [first] = turns.takeDue(0);
    expect(turns.takeDue(RETRY_MS - 1)).toEqual([]);
    expect(turns.takeDue(RETRY_MS)[0]?.turns[0]?.spanMs).toBe(RETENTION_MS - RETRY_MS);
    turns.acknowledge(first!);
    expect(turns.takeDue(5 * RETRY_MS)).toEqual([]);
  });

  test('requests to an unresponsive VM back off, and are sent at once again after it has responded', () => {
    const turns = new retentionExtensions.RetentionExtensions();
    addRequirement(turns, 't1', THIRD_MS, 0);
    const times = Array.from({ length: 20 }, (_, second) => second * RETRY_MS);
    const requested = times.filter((now) => turns.takeDue(now).length > 0);
    expect(requested).toEqual([0, 1_000, 3_000, 7_000, 11_000, 15_000, 19_000]);
    const [taken] = turns.takeDue(23_000);
    turns.acknowledge(taken!);
    addRequirement(turns, 't2', THIRD_MS, 24_000);
    expect(turnIds(turns.takeDue(24_000))).toEqual(['t2']);
  });

  test('requests another extension of an acknowledged turn a third of its retention later', () => {
    const turns = new retentionExtensions.RetentionExtensions();
    addRequirement(turns, 't1', THIRD_MS, 0);
    turns.acknowledge(turns.takeDue(0)[0]!);
    for (let now = 3_000; now < THIRD_MS; now += 3_000) {
      expect(addRequirement(turns, 't1', THIRD_MS + now, now)).toBe(false);
      expect(turns.takeDue(now)).toEqual([]);
    }
    expect(turns.takeDue(THIRD_MS)[0]?.turns[0]?.spanMs).toBe(18_000 + RETENTION_MS - THIRD_MS);
  });

  test('a turn that is needed again while a request is under way is requested again later', () => {
    const turns = new retentionExtensions.RetentionExtensions();
    addRequirement(turns, 't1', THIRD_MS, 0);
    const [first] = turns.takeDue(0);
    addRequirement(turns, 't1', THIRD_MS, 500);
    turns.acknowledge(first!);
    expect(turnIds(turns.takeDue(THIRD_MS))).toEqual(['t1']);
  });

  test('requests an extension of a turn whose age seems to be zero', () => {
    const turns = new retentionExtensions.RetentionExtensions();
    addRequirement(turns, 't1', 0, 7_000);
    expect(turns.removeFinished(7_000 + THIRD_MS)).toEqual([]);
    expect(turnIds(turns.takeDue(7_000 + THIRD_MS))).toEqual(['t1']);
  });

  test('is empty when all requirements are finished, and returns those that were never acknowledged', () => {
    const turns = new retentionExtensions.RetentionExtensions();
    addRequirement(turns, 't1', THIRD_MS, 0);
    turns.acknowledge(turns.takeDue(0)[0]!);
    addRequirement(turns, 't2', THIRD_MS, 0, 'b');
    expect(turns.removeFinished(THIRD_MS)).toEqual([]);
    expect(turns.isEmpty).toBe(false);
    expect(turnIds(turns.removeFinished(RETENTION_MS))).toEqual(['t2']);
    expect(turns.isEmpty).toBe(true);
  });
});

function addRequirement(
  turns: retentionExtensions.RetentionExtensions,
  id: string,
  ageMs: number,
  now: number,
  writer = 'a',
): boolean {
  return turns.addRequirement({ id, writer, ageMs }, RETENTION_MS, now);
}

function turnIds(due: readonly retentionExtensions.ExtensionRequest[]): readonly string[] {
  return due.flatMap(({ turns }) => turns.map(({ id }) => id));
}
