import * as jestGlobals from '@jest/globals';
import * as logPaths from './LogPaths.js';

const { describe, expect, test } = jestGlobals;

const DIRECT = { isDirect: true, isRelayed: false };
const RELAYED = { isDirect: false, isRelayed: true };
const BOTH = { isDirect: true, isRelayed: true };
const NEITHER = { isDirect: false, isRelayed: false };

describe('LogPaths', () => {
  // A log drops its history: reads that wait for changes stall for a second while appends succeed.
  test('a stalled read does not move other calls to relays while direct calls succeed', () => {
    const paths = new logPaths.LogPaths();
    paths.noteDirectSuccess(600);
    paths.noteDirectFailure(0, 1_200);
    expect(paths.choose(1_201)).toEqual(DIRECT);
  });

  test('the direct path fails if no call on it has succeeded since the failed one started', () => {
    const paths = new logPaths.LogPaths();
    paths.noteDirectSuccess(10);
    paths.noteDirectFailure(20, 920);
    expect(paths.isDirect).toBe(false);
  });

  // The log is cut off for many seconds: a call that waited for the direct path would lose 0.9 s.
  test('while the direct path fails, one call a second tries it, beside the relays', () => {
    const paths = createFailingPaths();
    expect([0, 1, 500, 999].map((now) => paths.choose(now))).toEqual([
      BOTH,
      RELAYED,
      RELAYED,
      RELAYED,
    ]);
    expect([1_000, 1_001].map((now) => paths.choose(now))).toEqual([BOTH, RELAYED]);
  });

  test('while no path reaches the log, few calls try and the others fail at once', () => {
    const paths = createFailingPaths();
    paths.choose(0);
    paths.noteRelayFailure(0, 10);
    const choices = Array.from({ length: 100 }, (_, index) => paths.choose(10 + index * 10));
    expect(choices.filter(({ isDirect }) => isDirect)).toHaveLength(4);
    expect(choices.filter(({ isRelayed }) => isRelayed)).toHaveLength(0);
    expect(paths.choose(20)).toEqual(NEITHER);
    expect(paths.choose(1_010).isRelayed).toBe(true);
  });

  test('a relay that fails for one call is not given up while relays serve others', () => {
    const paths = createFailingPaths();
    paths.noteRelaySuccess(50);
    paths.noteRelayFailure(0, 100);
    expect(paths.mayRelay(101)).toBe(true);
  });

  test('all calls are direct again after one direct call has succeeded', () => {
    const paths = createFailingPaths();
    paths.noteRelayFailure(0, 10);
    paths.noteDirectSuccess(100);
    expect(paths.choose(101)).toEqual(DIRECT);
    expect(paths.mayRelay(101)).toBe(true);
  });
});

function createFailingPaths(): logPaths.LogPaths {
  const paths = new logPaths.LogPaths();
  paths.noteDirectFailure(0, 0);
  return paths;
}
