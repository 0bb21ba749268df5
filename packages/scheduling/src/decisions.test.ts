import * as jestGlobals from '@jest/globals';
import * as targetChoices from './targetChoices.js';
import * as queueOrders from './queueOrders.js';
import * as priorities from './priorities.js';
import * as refusals from './refusals.js';
import type { TargetCandidate, WaitingCall } from './Types.js';

const { describe, expect, test } = jestGlobals;

function call(overrides: Partial<WaitingCall> = {}): WaitingCall {
  return {
    callId: 'call',
    pool: 'pool',
    workspace: 'quito',
    program: 'program',
    promptTokens: 1_000,
    expectedTokens: 100,
    attainedSeconds: 0,
    deadline: 60_000,
    excluded: new Set(),
    waitingSince: 0,
    ...overrides,
  };
}

function candidate(overrides: Partial<TargetCandidate> = {}): TargetCandidate {
  return {
    name: 'one',
    failureDomain: 'here',
    slots: 4,
    ownInFlight: 0,
    otherInFlight: 0,
    concurrencyLimit: 4,
    cachedTokens: 0,
    prefillMsPerToken: 1,
    decodeMsPerToken: 10,
    ...overrides,
  };
}

function usage(totals: Readonly<Record<string, number>> = {}) {
  return { attainedSeconds: (workspace: string) => totals[workspace] ?? 0 };
}

describe('orders', () => {
  const heavy = call({ workspace: 'heavy', waitingSince: 0 });
  const long = call({ workspace: 'light', attainedSeconds: 90, waitingSince: 5 });
  const short = call({ workspace: 'light', attainedSeconds: 1, waitingSince: 9 });
  const waiting = [heavy, long, short];

  test('the workspace and then the program with the least attained service come first', () => {
    expect(queueOrders.fairOrder(waiting, usage({ heavy: 9, light: 2 }), 10)).toBe(short);
    expect(queueOrders.fairOrder(waiting, usage({ heavy: 1, light: 2 }), 10)).toBe(heavy);
    expect(queueOrders.firstComeFirstServed(waiting, usage(), 10)).toBe(heavy);
  });

  test('a call that has waited long enough comes before one with less attained service', () => {
    const late = { ...short, waitingSince: 300_000 };
    expect(queueOrders.fairOrder([long, late], usage(), 300_000)).toBe(long);
  });
});

describe('choices', () => {
  const cached = candidate({ name: 'cached', cachedTokens: 900 });
  const empty = candidate({ name: 'empty' });
  const choose = (
    candidates: readonly TargetCandidate[],
    now = 0,
    overrides: Partial<WaitingCall> = {},
  ) => targetChoices.cheapestTarget(call(overrides), candidates, 'here', now)?.name;

  test('a call prefers the target with its cached prefix', () => {
    expect(choose([empty, cached])).toBe('cached');
    expect(targetChoices.cheapestWithoutAffinity(call(), [empty, cached], 'here', 0)?.name).toBe(
      'empty',
    );
  });

  test('a call waits for a full target only while that costs less', () => {
    const full = { ...cached, ownInFlight: 4 };
    const queued = { ...full, otherInFlight: 40 };
    expect(choose([full, empty])).toBe('cached');
    // Only the time since another target had capacity is counted, not the whole time in the queue.
    expect(choose([full, empty], 10_000, { deferredSince: 9_990 })).toBe('cached');
    expect(choose([full, empty], 10_000, { deferredSince: 0 })).toBe('empty');
    expect(choose([queued, empty])).toBe('empty');
  });

  test('a target that other processes use may get calls beyond its slots, up to half as many', () => {
    const shared = candidate({ ownInFlight: 2, otherInFlight: 2 });
    expect(choose([shared])).toBe('one');
    expect(choose([{ ...shared, otherInFlight: 4 }])).toBeUndefined();
    // The number of own calls is known exactly, so no calls beyond the slots are sent.
    expect(choose([{ ...shared, ownInFlight: 4, otherInFlight: 0 }])).toBeUndefined();
  });

  test('of equal targets the one in the own failure domain is chosen', () => {
    expect(choose([candidate({ name: 'far', failureDomain: 'there' }), empty])).toBe('empty');
  });

  test('round robin rotates over the targets', () => {
    const roundRobin = targetChoices.createRoundRobin();
    const names = [1, 2, 3, 4].map(() => roundRobin(call(), [cached, empty], 'here', 0)?.name);
    expect(names).toEqual(['empty', 'cached', 'empty', 'cached']);
  });
});

describe('refusals', () => {
  const backlog = (workspace: string, count: number, expectedTokens = 100) =>
    Array.from({ length: count }, () => call({ workspace, expectedTokens }));
  const full = candidate({ ownInFlight: 4 });

  test('a backlog of one workspace refuses its own calls but not those of other workspaces', () => {
    const waiting = backlog('bursting', 512);
    const bursting = call({ workspace: 'bursting', deadline: Infinity });
    expect(refusals.refuseEarly(bursting, waiting, [full], 0)?.kind).toBe('overloaded');
    expect(refusals.refuseEarly(call(), waiting, [full], 0)).toBeUndefined();
  });

  test('a call that would miss its deadline is refused with a retry delay of its expected lateness', () => {
    const waiting = backlog('quito', 100);
    // 100 calls of 2 s and this one on 4 slots: it starts after about 51 s.
    const fault = refusals.refuseEarly(call({ deadline: 30_000 }), waiting, [full], 0);
    expect(fault).toMatchObject({ kind: 'deadline-unreachable', run: 'not-run' });
    expect(fault?.retryAfterMs).toBeGreaterThan(20_000);
    expect(fault?.retryAfterMs).toBeLessThan(30_000);
    expect(refusals.refuseEarly(call(), waiting, [full], 0)).toBeUndefined();
  });

  test('calls are predicted by their typical output if it is below the allowed maximum', () => {
    const waiting = backlog('quito', 100, 1_000);
    const due = call({ deadline: 30_000, expectedTokens: 1_000 });
    const fast = { ...full, prefillMsPerToken: 0.1 };
    expect(refusals.refuseEarly(due, waiting, [fast], 0)?.kind).toBe('deadline-unreachable');
    expect(refusals.refuseEarly(due, waiting, [{ ...fast, typicalTokens: 20 }], 0)).toBeUndefined();
  });

  test('a call is not refused for its estimated service time alone while there is capacity', () => {
    const slow = call({ deadline: 1 });
    expect(refusals.refuseEarly(slow, [], [candidate()], 0)).toBeUndefined();
  });
});

test('the engine priority number grows with the attained service', () => {
  expect(priorities.enginePriority(0, 0)).toBe(0);
  expect(priorities.enginePriority(10, 0)).toBeLessThan(priorities.enginePriority(10, 30));
});
