import * as jestGlobals from '@jest/globals';
import * as partitionPaths from './PartitionPaths.js';
import type { PartitionName } from './Types.js';

const { describe, expect, test } = jestGlobals;

const { ALL, NONE, PARTITION } = partitionPaths.AFFECTED_CALLS;
const DIRECT = { isDirect: true, isRelayed: false };
const FAILING = partitionNamed(0);
const WORKING = partitionNamed(1);

describe('PartitionPaths', () => {
  // Replays an outage of a third of the partitions: each retry of a failing one moved all calls to
  // relays, and those of the others waited for a relay or failed at once.
  test('while some partitions are down, calls to the others stay direct however often these are tried', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    paths.noteDirectSuccess(WORKING, 0);
    const outcomes = Array.from({ length: 250 }, (_, index) => {
      const now = 10 + index * 20;
      if (index % 25 === 0) paths.noteDirectSuccess(WORKING, now);
      const isTried = paths.choose(FAILING, now).isDirect;
      if (isTried) paths.noteDirectFailure(FAILING, now, now + 5, false);
      paths.noteRelayFailure(FAILING, now, now + 6);
      return { isTried, working: paths.choose(WORKING, now + 7) };
    });
    expect(outcomes.every(({ working }) => working.isDirect && !working.isRelayed)).toBe(true);
    // Five attempts a second in 5 s, and the first one.
    expect(outcomes.filter(({ isTried }) => isTried).length).toBeLessThanOrEqual(26);
  });

  test('only calls to the failing partition move to relays, and back when it works again', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    paths.noteDirectSuccess(WORKING, 100);
    expect(paths.noteDirectFailure(FAILING, 110, 120, false)).toBe(PARTITION);
    expect(paths.noteDirectFailure(FAILING, 120, 130, false)).toBe(NONE);
    expect(paths.mayServe(FAILING, 130)).toBe(false);
    expect(paths.mayServe(WORKING, 130)).toBe(true);
    expect(paths.noteDirectSuccess(FAILING, 200)).toBe(PARTITION);
    expect(paths.choose(FAILING, 201)).toEqual(DIRECT);
  });

  test('a partition whose failure counted against the log is isolated once another one works', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    expect(paths.noteDirectFailure(FAILING, 1_000, 1_010, false)).toBe(ALL);
    expect(paths.noteDirectSuccess(WORKING, 1_020)).toBe(ALL);
    expect(paths.noteDirectFailure(FAILING, 2_000, 2_010, false)).toBe(NONE);
    expect(paths.choose(WORKING, 2_011)).toEqual(DIRECT);
  });

  // The log does not respond at all: a timeout is longer than the time for which others prove it.
  test('an outage of the whole log is recognised at the first timeout, and again after others worked', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    paths.noteDirectSuccess(WORKING, 1_000);
    expect(paths.noteDirectFailure(FAILING, 1_010, 1_710, false)).toBe(ALL);
    expect(paths.mayServe(WORKING, 1_711)).toBe(false);
    paths.noteDirectSuccess(WORKING, 2_000);
    paths.noteDirectSuccess(FAILING, 2_000);
    expect(paths.noteDirectFailure(WORKING, 2_100, 2_110, false)).toBe(PARTITION);
    expect(paths.noteDirectFailure(FAILING, 2_120, 2_130, false)).toBe(ALL);
  });

  // In an outage of the whole log the retries of one partition would take all direct attempts.
  test('while the whole log fails, a partition that has not failed takes the next direct attempt', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    paths.noteDirectFailure(FAILING, 0, 0, false);
    paths.choose(WORKING, 0);
    paths.noteRelayFailure(FAILING, 0, 10);
    const [due] = Array.from({ length: 500 }, (_, index) => 10 + index).filter(
      (now) => paths.choose(FAILING, now).isDirect,
    );
    expect(due).toBeGreaterThanOrEqual(250);
  });

  // A success of long ago was taken as proof, and every partition was tried by itself without end.
  test('a partition that is not called any more does not hide an outage of the whole log', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    paths.noteDirectSuccess(WORKING, 1_000);
    expect(paths.noteDirectFailure(FAILING, 1_010, 1_020, false)).toBe(PARTITION);
    expect(paths.noteDirectFailure(FAILING, 3_100, 3_110, false)).toBe(ALL);
  });

  // A process that makes no calls of its own to a partition refused to relay those of its peers.
  test('a partition that failed a while ago is tried again for peers', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    paths.noteDirectSuccess(WORKING, 100);
    paths.noteDirectFailure(FAILING, 110, 120, false);
    expect([1_000, 1_121].map((now) => paths.mayServe(FAILING, now))).toEqual([false, true]);
  });

  // A process that reaches the log only through peers lost all relays by calls to one partition.
  test('relays that do not reach one partition are still used for the others', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    paths.noteDirectFailure(WORKING, 0, 0, false);
    paths.noteRelaySuccess(WORKING, 50);
    paths.noteRelayFailure(FAILING, 60, 100);
    expect(paths.choose(WORKING, 101).isRelayed).toBe(true);
    expect(paths.choose(FAILING, 102).isRelayed).toBe(false);
    expect(paths.choose(FAILING, 1_101).isRelayed).toBe(true);
  });

  test('a read that waits for changes and stalls does not make its partition fail', () => {
    const paths = new partitionPaths.PartitionPaths(true);
    paths.noteDirectSuccess(WORKING, 900);
    expect(paths.noteDirectFailure(FAILING, 100, 1_000, true)).toBe(NONE);
    expect(paths.choose(FAILING, 1_001)).toEqual(DIRECT);
  });

  test('without the setting each failure counts against the whole log', () => {
    const paths = new partitionPaths.PartitionPaths(false);
    paths.noteDirectSuccess(WORKING, 100);
    expect(paths.noteDirectFailure(FAILING, 110, 120, false)).toBe(ALL);
    expect(paths.mayServe(WORKING, 121)).toBe(false);
  });
});

function partitionNamed(partition: number): PartitionName {
  return { topic: 'test', partition };
}
