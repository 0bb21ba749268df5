import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as trueMyth from 'true-myth';
import * as cancellers from './cancelEarlier.js';
import * as fingerprints from './CrashFingerprints.js';
import * as failures from './failures.js';
import * as releasers from './MemoryReleaser.js';
import * as retryBudgets from './RetryBudget.js';
import * as fixtures from './targetFixtures.js';
import type { EngineHolding, RunningCall, TargetResult } from './Types.js';

const { describe, expect, test } = jestGlobals;

class FakeEngine {
  public isReachable = true;

  public held: string[] = [];

  public calls: RunningCall[] = [];

  public async holdings(): Promise<TargetResult<readonly EngineHolding[]>> {
    return this.answer(this.held.map((program) => ({ program, tokens: 1 })));
  }

  public async release(_target: string, program: string): Promise<TargetResult<void>> {
    if (this.isReachable) this.held = this.held.filter((held) => held !== program);
    return this.answer(undefined);
  }

  public async running(): Promise<TargetResult<readonly RunningCall[]>> {
    return this.answer(this.calls);
  }

  public async cancel(_target: string, callId: string): Promise<TargetResult<void>> {
    if (this.isReachable) this.calls = this.calls.filter((call) => call.callId !== callId);
    return this.answer(undefined);
  }

  private answer<Value>(value: Value): TargetResult<Value> {
    return this.isReachable
      ? trueMyth.Result.ok(value)
      : failures.failed('not-sent', 'The fake is cut off.');
  }
}

function createReleaser() {
  const engine = new FakeEngine();
  const time = new clock.ManualClock();
  const releaser = new releasers.MemoryReleaser({
    client: engine,
    engines: () => ['one'],
    clock: time,
    logger: fixtures.SILENT_LOGGER,
    random: () => 1,
  });
  return { engine, releaser, time };
}

function settle(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function advance(time: clock.ManualClock, spanMs: number): Promise<void> {
  for (let passed = 0; passed < spanMs; passed += 250) {
    time.advance(250);
    await settle();
  }
}

describe('MemoryReleaser', () => {
  test('releases until the engine acknowledges, also when it was cut off', async () => {
    const { engine, releaser, time } = createReleaser();
    const acknowledged: string[] = [];
    releaser.onReleased(({ program }) => acknowledged.push(program));
    engine.held = ['ended', 'returned', 'other'];
    engine.isReachable = false;
    releaser.release('one', 'ended');
    releaser.release('one', 'returned');
    await advance(time, 300_000);
    expect(releaser.unacknowledged()).toHaveLength(2);
    releaser.keep('one', 'returned');
    engine.isReachable = true;
    await advance(time, 10_000);
    expect(engine.held).toEqual(['returned', 'other']);
    expect(acknowledged).toEqual(['ended']);
    expect(releaser.unacknowledged()).toEqual([]);
    releaser.dispose();
  });

  test('a sweep releases orphans of own shards only, and only what stays orphaned', async () => {
    const { engine, releaser, time } = createReleaser();
    const live = new Set(['live']);
    const questions = {
      isLive: (program: string) => live.has(program),
      isOwnedHere: (program: string) => program !== 'elsewhere',
    };
    engine.held = ['live', 'orphan', 'opening', 'elsewhere'];
    await releaser.sweep(questions);
    await advance(time, 5_000);
    live.add('opening');
    await releaser.sweep(questions);
    expect(engine.held).toContain('orphan');
    await advance(time, 5_000);
    await releaser.sweep(questions);
    await settle();
    expect(engine.held).toEqual(['live', 'opening', 'elsewhere']);
    releaser.dispose();
  });
});

describe('CrashFingerprints', () => {
  function createFingerprints() {
    const time = new clock.ManualClock();
    time.advance(1_000);
    const crashes = new fingerprints.CrashFingerprints(time);
    const announced: string[] = [];
    crashes.onQuarantine((fingerprint) => announced.push(fingerprint));
    const die = (target: string, sentAt: number) =>
      crashes.noteDeath({ fingerprint: 'print', target, sentAt });
    return { announced, crashes, die };
  }

  test('two different targets that die one after the other quarantine a request', () => {
    const { announced, crashes, die } = createFingerprints();
    expect(die('one', 900)).toBe(false);
    expect(die('one', 1_000)).toBe(false);
    expect(crashes.isSuspect('print')).toBe(true);
    expect(die('two', 1_000)).toBe(true);
    expect(crashes.isQuarantined('print')).toBe(true);
    expect(announced).toEqual(['print']);
  });

  test('equal requests that were hit at once, or one that completed, are no evidence', () => {
    const { crashes, die } = createFingerprints();
    die('one', 900);
    die('two', 900);
    expect(crashes.isQuarantined('print')).toBe(false);
    crashes.noteCompleted('print');
    die('two', 1_000);
    expect(crashes.isQuarantined('print')).toBe(false);
  });

  test('what a peer tells is quarantined without being told on', () => {
    const { announced, crashes } = createFingerprints();
    crashes.learn('print');
    expect(crashes.isQuarantined('print')).toBe(true);
    expect(announced).toEqual([]);
  });
});

describe('cancelEarlier', () => {
  test('cancels lower numbers only, waits for an engine, and names those not reached', async () => {
    const engine = new FakeEngine();
    const time = new clock.ManualClock();
    const numbers = { old: 2, resumed: 2, current: 3 };
    engine.calls = Object.entries(numbers).map(([callId, number]) => ({
      callId,
      program: 'program',
      fencing: { scope: 'shard-1', number },
    }));
    engine.isReachable = false;
    const cancelling = cancellers.cancelEarlier('shard-1', 3, {
      client: engine,
      engines: ['one'],
      clock: time,
      isKept: (callId) => callId === 'resumed',
      attempts: 3,
      signal: new AbortController().signal,
    });
    await settle();
    engine.isReachable = true;
    await advance(time, 250);
    expect(await cancelling).toEqual([]);
    expect(engine.calls.map((call) => call.callId)).toEqual(['resumed', 'current']);
  });
});

test('a retry budget allows a fraction of the calls', () => {
  const budget = new retryBudgets.RetryBudget({ fraction: 0.25, burst: 2 });
  const tries = (count: number) => Array.from({ length: count }, () => budget.tryRetry());
  expect(tries(3)).toEqual([true, true, false]);
  [1, 2, 3, 4].forEach(() => budget.noteCall());
  expect(tries(2)).toEqual([true, false]);
});
