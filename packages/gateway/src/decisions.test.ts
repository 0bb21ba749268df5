import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as chooseTarget from './chooseTarget.js';
import * as choosePool from './choosePool.js';
import * as routeMatcher from './RouteMatcher.js';
import * as currentTables from './CurrentTables.js';
import * as targetRegistry from './TargetRegistry.js';
import * as targetScores from './TargetScores.js';
import * as fixtures from './testing/gatewayFixtures.js';
import type { Tables } from './Types.js';

const { describe, expect, test } = jestGlobals;

const TARGETS = ['one', 'two', 'three', 'four'].map((id) => fixtures.createTarget(id));

describe('RouteMatcher', () => {
  test('matches the longest prefix of the host and ignores the query', () => {
    const matcher = new routeMatcher.RouteMatcher([
      fixtures.createRoute({ name: 'short', pathPrefix: '/a/' }),
      fixtures.createRoute({ name: 'long', pathPrefix: '/a/b/' }),
      fixtures.createRoute({ name: 'other', host: 'elsewhere', pathPrefix: '/' }),
    ]);
    expect(matcher.match('host', '/a/b/c')?.name).toBe('long');
    expect(matcher.match('host', '/a/x?y=/a/b/')?.name).toBe('short');
    expect(matcher.match('host', '/b/')).toBeUndefined();
    expect(matcher.match('host', '/a')).toBeUndefined();
  });
});

describe('CurrentTables', () => {
  test('never goes back to an earlier version', () => {
    const holder = new currentTables.CurrentTables(new logging.PartLogger('test'));
    [4, 7, 5].forEach((version) => holder.offer(createTables(version)));
    expect(holder.current?.version).toBe(7);
  });
});

describe('choosePool', () => {
  test('follows the weights and maps the same key to the same pool', () => {
    const pools = [
      { pool: 'most', weight: 90 },
      { pool: 'few', weight: 10 },
    ];
    const route = fixtures.createRoute({ pools });
    const chosen = Array.from({ length: 2_000 }, (_, index) =>
      choosePool.choosePool(route, `program-${index}`),
    );
    const few = chosen.filter((pool) => pool === 'few').length;
    expect(few).toBeGreaterThan(120);
    expect(few).toBeLessThan(280);
    expect(choosePool.choosePool(route, 'program-1')).toBe(chosen[1]);
  });
});

describe('chooseTarget', () => {
  test('chooses the target of the affinity until its load is far above the mean', () => {
    const scores = new targetScores.TargetScores(new clock.ManualClock());
    const first = choose(scores, 'session');
    expect(choose(scores, 'session')).toBe(first);
    for (let sent = 0; sent < 5; sent += 1) scores.recordSent(first!);
    expect(choose(scores, 'session')).not.toBe(first);
  });

  test('skips targets after failures and uses them again later', () => {
    const time = new clock.ManualClock();
    const scores = new targetScores.TargetScores(time);
    const first = choose(scores, 'session');
    scores.recordFailure(first!);
    expect(choose(scores, 'session')).not.toBe(first);
    time.advance(600);
    expect(choose(scores, 'session')).toBe(first);
  });

  test('skips a target that fails part of its calls, longer after each failure', () => {
    const time = new clock.ManualClock();
    const scores = new targetScores.TargetScores(time);
    const unreliable = choose(scores, 'session')!;
    for (let round = 0; round < 3; round += 1) {
      scores.recordFirstData(unreliable, 100);
      scores.recordFailure(unreliable);
      time.advance(600 * 2 ** round);
    }
    scores.recordFirstData(unreliable, 100);
    scores.recordFailure(unreliable);
    time.advance(3_000);
    expect(choose(scores, 'session')).not.toBe(unreliable);
    time.advance(1_500);
    expect(choose(scores, 'session')).toBe(unreliable);
  });

  test('resets the pause of a target after several successes', () => {
    const time = new clock.ManualClock();
    const scores = new targetScores.TargetScores(time);
    const target = choose(scores, 'session')!;
    scores.recordFailure(target);
    for (let success = 0; success < 4; success += 1) scores.recordFirstData(target, 100);
    scores.recordFailure(target);
    time.advance(600);
    expect(choose(scores, 'session')).toBe(target);
  });

  // Replays a target that resets what it is sent and reports itself as healthy: after each pause, a
  // call that must not be repeated tried it again and was lost.
  test('a failed target gets calls that must not be repeated only after several others succeeded', () => {
    const time = new clock.ManualClock();
    const scores = new targetScores.TargetScores(time);
    const failed = choose(scores, 'session', false)!;
    scores.recordFailure(failed);
    time.advance(600);
    expect(choose(scores, 'session', false)).not.toBe(failed);
    expect(choose(scores, 'session', true)).toBe(failed);
    for (let success = 0; success < 4; success += 1) scores.recordFirstData(failed, 100);
    expect(choose(scores, 'session', false)).toBe(failed);
  });

  test('a failed target that no repeatable call tries is trusted again after a while', () => {
    const time = new clock.ManualClock();
    const scores = new targetScores.TargetScores(time);
    const failed = choose(scores, 'session', false)!;
    scores.recordFailure(failed);
    time.advance(10_100);
    expect(choose(scores, 'session', false)).toBe(failed);
  });

  test('a call that must not be repeated goes to a target on probation rather than to a paused one', () => {
    const time = new clock.ManualClock();
    const scores = new targetScores.TargetScores(time);
    const onProbation = choose(scores, 'session', false)!;
    scores.recordFailure(onProbation);
    time.advance(600);
    TARGETS.filter(({ id }) => id !== onProbation).forEach(({ id }) => scores.recordFailure(id));
    expect(choose(scores, 'session', false)).toBe(onProbation);
  });

  test('skips a target that has become slow', () => {
    const scores = new targetScores.TargetScores(new clock.ManualClock());
    const slow = choose(scores, 'session')!;
    TARGETS.forEach(({ id }) => scores.recordFirstData(id, id === slow ? 900 : 100));
    expect(choose(scores, 'session')).not.toBe(slow);
  });

  test('many VMs with a call each do not all choose the same target', () => {
    const domains = ['a', 'b', 'c', 'd'];
    const candidates = Array.from({ length: 60 }, (_, index) =>
      fixtures.createTarget(`target-${index}`, { failureDomain: domains[index % 4]! }),
    );
    const ids = candidates.map(({ id }) => id);
    const random = createRandom(1);
    const calls = new Map<string, number>();
    // 76 VMs with ten sequential calls each.
    for (let call = 0; call < 760; call += 1) {
      const scores = new targetScores.TargetScores(new clock.ManualClock());
      const target = chooseTarget.chooseTarget({
        candidates,
        scores: scores.compare(ids),
        affinity: undefined,
        isRepeatable: true,
        ownFailureDomain: domains[call % 4]!,
        random,
      })!;
      expect(target.failureDomain).toBe(domains[call % 4]);
      calls.set(target.id, (calls.get(target.id) ?? 0) + 1);
    }
    const mean = 760 / candidates.length;
    expect(Math.max(...calls.values())).toBeLessThan(2.5 * mean);
  });

  test('without an affinity chooses the least loaded target, preferably in the own failure domain', () => {
    const scores = new targetScores.TargetScores(new clock.ManualClock());
    const near = fixtures.createTarget('near', { failureDomain: 'b' });
    const candidates = [...TARGETS, near];
    const own = {
      candidates,
      affinity: undefined,
      isRepeatable: true,
      ownFailureDomain: 'b',
      random: () => 0,
    };
    const ids = candidates.map(({ id }) => id);
    expect(chooseTarget.chooseTarget({ ...own, scores: scores.compare(ids) })?.id).toBe('near');
    scores.recordSent('near');
    expect(chooseTarget.chooseTarget({ ...own, scores: scores.compare(ids) })?.id).not.toBe('near');
  });

  test('uses a failing target when no other is left', () => {
    const scores = new targetScores.TargetScores(new clock.ManualClock());
    TARGETS.forEach(({ id }) => scores.recordFailure(id));
    expect(choose(scores, 'session')).toBeDefined();
  });
});

describe('TargetRegistry', () => {
  test('draining and removed targets get no new work', () => {
    const registry = createRegistry(new clock.ManualClock(), () => 0);
    registry.reset([fixtures.createTarget('one'), fixtures.createTarget('two')]);
    registry.update(fixtures.createTarget('one', { isDraining: true }));
    registry.remove('two');
    expect(registry.usable('pool')).toEqual([]);
  });

  test('a target that disappears during an outage stays usable for a grace period', () => {
    const time = new clock.ManualClock();
    const doubt = { until: Number.POSITIVE_INFINITY };
    const registry = createRegistry(time, () => doubt.until);
    registry.reset([fixtures.createTarget('one')]);
    doubt.until = time.now() + 300;
    registry.remove('one');
    expect(registry.usable('pool')).toHaveLength(1);
    time.advance(3_000);
    expect(registry.usable('pool')).toHaveLength(0);
  });

  // A VM that was cut off from the log can't tell targets that left meanwhile from those that could
  // not renew their entries. It went on sending requests to targets that had been removed.
  test('targets that disappear while most of their pool stays listed get no new work', () => {
    const time = new clock.ManualClock();
    const registry = createRegistry(time, () => time.now() + 300);
    const targets = Array.from({ length: 8 }, (_, index) => fixtures.createTarget(`t${index}`));
    registry.reset(targets);
    const usableAfter = targets.map(({ id }) => {
      registry.remove(id);
      return registry.usable('pool').length;
    });
    // From the fifth on, it is an outage of the log, in which all targets may still run.
    expect(usableAfter).toEqual([7, 6, 5, 4, 8, 8, 8, 8]);
    registry.update(targets[0]!);
    expect(registry.usable('pool')).toHaveLength(8);
    time.advance(3_000);
    expect(registry.usable('pool')).toEqual([targets[0]]);
  });

  test('a target that announced its shutdown in a response gets no new work until its process is replaced', () => {
    const registry = createRegistry(new clock.ManualClock(), () => 0);
    registry.reset([fixtures.createTarget('one')]);
    registry.markLeaving(fixtures.createTarget('one'));
    expect(registry.usable('pool')).toEqual([]);
    registry.update(fixtures.createTarget('one'));
    registry.reset([fixtures.createTarget('one')]);
    expect(registry.usable('pool')).toEqual([]);
    registry.update(fixtures.createTarget('one', { incarnation: '2' }));
    expect(registry.usable('pool')).toHaveLength(1);
    registry.markLeaving(fixtures.createTarget('one', { incarnation: '1' }));
    expect(registry.usable('pool')).toHaveLength(1);
  });

  test('a process that restarts with the same id replaces the previous one', () => {
    const registry = createRegistry(new clock.ManualClock(), () => 0);
    const gone: string[] = [];
    registry.onRemoved(({ incarnation }) => gone.push(incarnation));
    registry.update(fixtures.createTarget('one', { incarnation: '1' }));
    registry.update(fixtures.createTarget('one', { incarnation: '2' }));
    expect(gone).toEqual(['1']);
    expect(registry.isUsable(fixtures.createTarget('one', { incarnation: '1' }))).toBe(false);
  });
});

function choose(
  scores: targetScores.TargetScores,
  affinity: string,
  isRepeatable = true,
): string | undefined {
  return chooseTarget.chooseTarget({
    candidates: TARGETS,
    scores: scores.compare(TARGETS.map(({ id }) => id)),
    affinity,
    isRepeatable,
    ownFailureDomain: 'a',
    random: () => 0,
  })?.id;
}

/** A linear congruential generator. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function createRegistry(
  time: clock.Clock,
  listUnreliableUntil: () => number,
): targetRegistry.TargetRegistry {
  const logger = new logging.PartLogger('test');
  return new targetRegistry.TargetRegistry({ clock: time, logger, listUnreliableUntil });
}

function createTables(version: number): Tables {
  return {
    version,
    routes: [],
    pools: new Map(),
    workspaces: new Map(),
    workspacesByKey: new Map(),
    needsKeys: false,
    callerLimits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}
