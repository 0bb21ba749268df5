import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as trueMyth from 'true-myth';
import * as cancellers from './cancelSupersededCalls.js';
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
    return this.resultOf(this.held.map((program) => ({ program, tokens: 1 })));
  }

  public async release(_target: string, program: string): Promise<TargetResult<void>> {
    if (this.isReachable) this.held = this.held.filter((held) => held !== program);
    return this.resultOf(undefined);
  }

  public async running(): Promise<TargetResult<readonly RunningCall[]>> {
    return this.resultOf(this.calls);
  }

  public async cancel(_target: string, callId: string): Promise<TargetResult<void>> {
    if (this.isReachable) this.calls = this.calls.filter((call) => call.callId !== callId);
    return this.resultOf(undefined);
  }

  private resultOf<Value>(value: Value): TargetResult<Value> {
    return this.isReachable
      ? trueMyth.Result.ok(value)
      : failures.failed('not-sent', 'The fake is unreachable.');
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
  test('retries releases until the engine acknowledges them, also after an outage', async () => {
    const { engine, releaser, time } = createReleaser();
    const acknowledged: string[] = [];
    releaser.onReleased(({ program }) => acknowledged.push(program));
    engine.held = ['ended', 'returned', 'other'];
    engine.isReachable = false;
    releaser.release('one', 'ended');
    releaser.release('one', 'returned');
    await advance(time, 300_000);
    expect(releaser.unacknowledged()).toHaveLength(2);
    releaser.cancelRelease('one', 'returned');
    engine.isReachable = true;
    await advance(time, 10_000);
    expect(engine.held).toEqual(['returned', 'other']);
    expect(acknowledged).toEqual(['ended']);
    expect(releaser.unacknowledged()).toEqual([]);
    releaser.dispose();
  });

  test('a sweep releases only orphans of own shards, and only lasting ones', async () => {
    const { engine, releaser, time } = createReleaser();
    const live = new Set(['live']);
    const checks = {
      isLive: (program: string) => live.has(program),
      isOwnedHere: (program: string) => program !== 'elsewhere',
    };
    engine.held = ['live', 'orphan', 'opening', 'elsewhere'];
    await releaser.sweep(checks);
    await advance(time, 5_000);
    live.add('opening');
    await releaser.sweep(checks);
    expect(engine.held).toContain('orphan');
    await advance(time, 5_000);
    await releaser.sweep(checks);
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
    const crash = (target: string, sentAt: number) =>
      crashes.noteCrash({ fingerprint: 'print', target, sentAt });
    return { announced, crashes, crash };
  }

  test('crashes of two different targets in succession quarantine a request', () => {
    const { announced, crashes, crash } = createFingerprints();
    expect(crash('one', 900)).toBe(false);
    expect(crash('one', 1_000)).toBe(false);
    expect(crashes.isSuspect('print')).toBe(true);
    expect(crash('two', 1_000)).toBe(true);
    expect(crashes.isQuarantined('print')).toBe(true);
    expect(announced).toEqual(['print']);
  });

  test('concurrent crashes, or a crash before a completed call, do not quarantine a request', () => {
    const { crashes, crash } = createFingerprints();
    crash('one', 900);
    crash('two', 900);
    expect(crashes.isQuarantined('print')).toBe(false);
    crashes.noteCompleted('print');
    crash('two', 1_000);
    expect(crashes.isQuarantined('print')).toBe(false);
  });

  test('a fingerprint from a peer is quarantined without being announced again', () => {
    const { announced, crashes } = createFingerprints();
    crashes.addQuarantined('print');
    expect(crashes.isQuarantined('print')).toBe(true);
    expect(announced).toEqual([]);
  });
});

describe('cancelSupersededCalls', () => {
  test('cancels only calls with lower fencing numbers, with retries, and returns unreachable engines', async () => {
    const engine = new FakeEngine();
    const time = new clock.ManualClock();
    const numbers = { old: 2, resumed: 2, current: 3 };
    engine.calls = Object.entries(numbers).map(([callId, number]) => ({
      callId,
      program: 'program',
      fencing: { scope: 'shard-1', number },
    }));
    engine.isReachable = false;
    const cancelling = cancellers.cancelSupersededCalls('shard-1', 3, {
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
