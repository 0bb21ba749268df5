import * as jestGlobals from '@jest/globals';
import * as keyedLog from '@limpettack/keyed-log';
import type * as keyedLogTesting from '@limpettack/keyed-log/testing';
import type * as homePartition from './HomePartition.js';
import * as homeFixtures from './testing/homeFixtures.js';
import type { Reservation } from './Types.js';

const { describe, expect, test } = jestGlobals;

const TURN_TOKENS = 100;
const BUDGET = 400;

describe('HomePartition', () => {
  test('grants no more than the budget, however often the partition changes its owner', async () => {
    const log = homeFixtures.createLog();
    let grantedTokens = 0;
    for (let owner = 0; owner < 6; owner += 1) {
      const home = homeFixtures.createPartition({ log, producer: `home-${owner}` });
      for (let turn = 0; turn < 3; turn += 1) {
        const call = `${owner}.${turn}`;
        if ((await home.reserve(reservation(call))).isErr) break;
        if (!(await home.cover(reservation(call)))) break;
        home.settle({ program: 'p', call, tokens: 60, isKept: false }, 'here');
        grantedTokens += 60;
      }
      await home.release();
    }
    expect(grantedTokens).toBeGreaterThan(0);
    expect(grantedTokens).toBeLessThanOrEqual(BUDGET + TURN_TOKENS);
  });

  test('a partition that returns to a process is written under a new producer name', async () => {
    const log = homeFixtures.createLog();
    const fleet = homeFixtures.createSingleHome(log);
    for (let round = 0; round < 5; round += 1) {
      const call = `call-${round}`;
      await fleet.server.reserve(reservation(call), false);
      await fleet.server.cover(reservation(call));
      fleet.server.settle({ program: 'p', call, tokens: TURN_TOKENS, isKept: false }, 'here');
      await fleet.server.releaseAll();
    }
    const last = await fleet.server.reserve(reservation('last'), false);
    expect(last.isErr && last.error.kind).toBe('budget-exhausted');
    await fleet.dispose();
  });

  test('charges the tokens that a crashed owner may have granted', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    await homeFixtures.waitForWrites();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    let granted = 0;
    for (let turn = 0; turn < 8; turn += 1) {
      if ((await second.reserve(reservation(`b${turn}`))).isOk) granted += TURN_TOKENS;
    }
    expect(granted).toBeLessThanOrEqual(BUDGET - TURN_TOKENS);
  });

  test('a program with a small budget continues after the loss of its home', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    first.settle({ program: 'p', call: 'a', tokens: TURN_TOKENS / 2, isKept: false }, 'here');
    await homeFixtures.waitForWrites();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    expect((await second.reserve(reservation('b'))).isOk).toBe(true);
    expect((await second.reserve(reservation('c'))).isOk).toBe(true);
  });

  test('a watermark above the used tokens does not end a program whose budget allows one more turn', async () => {
    const log = homeFixtures.createLog();
    const small = { ...reservation('a'), budgetTokens: 2 * TURN_TOKENS };
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(small);
    await first.cover(small);
    first.dispose();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    expect((await second.reserve({ ...small, call: 'b' })).isOk).toBe(true);
  });

  test('covers no tokens without a record while the log is unavailable', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ log, producer: 'home' });
    await home.reserve({ ...reservation('other'), program: 'other' });
    log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const first = await home.reserve(reservation('first'));
    expect(first.isOk && first.value.isCovered).toBe(false);
    const covered = home.cover(reservation('first'));
    log.outage = undefined;
    expect(await covered).toBe(true);
  });

  test('all grants are charged when homes crash before their records are written', async () => {
    const log = homeFixtures.createLog();
    let grantedTokens = 0;
    for (let owner = 0; owner < 8; owner += 1) {
      // Each home responds at once and crashes before its append completes.
      const home = homeFixtures.createPartition({ log, producer: `home-${owner}` });
      const granted = await home.reserve(reservation(`${owner}`));
      if (granted.isOk && granted.value.isCovered) grantedTokens += TURN_TOKENS;
      home.dispose();
    }
    expect(grantedTokens).toBeLessThanOrEqual(BUDGET);
  });

  test('an idle program is charged only its used tokens at a later home', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    first.settle({ program: 'p', call: 'a', tokens: 20, isKept: false }, 'here');
    await homeFixtures.waitForLowering();
    first.dispose();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    for (const call of ['b', 'c', 'd']) {
      expect((await second.reserve(reservation(call))).isOk).toBe(true);
    }
  });

  test('a settled retained turn is charged only its used tokens, even if its home crashes', async () => {
    const log = homeFixtures.createLog();
    const used = TURN_TOKENS / 5;
    for (let turn = 0; turn < 10; turn += 1) {
      const home = homeFixtures.createPartition({ log, producer: `home-${turn}` });
      const request = reservation(`${turn}`);
      expect((await home.reserve(request)).isOk).toBe(true);
      expect(await home.cover(request)).toBe(true);
      const settlement = { program: 'p', call: `${turn}`, tokens: used, isKept: true };
      expect(await home.settle(settlement, 'here')).toBe(true);
      home.dispose();
    }
  });

  test('parallel retained turns are charged only their used tokens', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    const calls = ['a', 'b', 'c', 'd'];
    for (const call of calls) expect((await first.reserve(reservation(call))).isOk).toBe(true);
    await Promise.all(calls.map((call) => first.cover(reservation(call))));
    await Promise.all(
      calls.map((call) => first.settle({ program: 'p', call, tokens: 20, isKept: true }, 'here')),
    );
    first.dispose();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    for (const call of ['e', 'f']) {
      expect((await second.reserve(reservation(call))).isOk).toBe(true);
    }
  });

  test('a turn whose first home did not respond is charged once at the next home', async () => {
    const log = homeFixtures.createLog();
    const small = { ...reservation('a'), budgetTokens: 1.5 * TURN_TOKENS };
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(small);
    await homeFixtures.waitForWrites();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    const again = await second.reserve(small);
    expect(again.isOk && again.value.isCovered).toBe(true);
  });

  test('a later home settles a turn that an earlier home reserved tokens for', async () => {
    const log = homeFixtures.createLog();
    const small = { ...reservation('a'), budgetTokens: 1.5 * TURN_TOKENS };
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(small);
    await homeFixtures.waitForWrites();
    first.dispose();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    await second.settle({ program: 'p', call: 'a', tokens: 0, isKept: false }, 'here');
    expect((await second.reserve({ ...small, call: 'b' })).isOk).toBe(true);
  });

  test('tokens that a later home may free are not granted again without a record', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const settlement = { program: 'p', call: 'a', tokens: 0, isKept: false };
    await first.settle(settlement, 'here');
    // The watermark covers one further turn. A second one could use only the tokens that turn a
    // released.
    const ahead = await first.reserve(reservation('b'));
    const beyond = await first.reserve(reservation('c'));
    expect(ahead.isOk && ahead.value.isCovered).toBe(true);
    expect(beyond.isOk && beyond.value.isCovered).toBe(false);
    log.outage = undefined;
  });

  test('removes an idle program from the log and records it again on its next use', async () => {
    const log = homeFixtures.createLog();
    const time = homeFixtures.createShiftedClock();
    const home = homeFixtures.createPartition({ log, producer: 'home', time });
    await runRetainedTurn(home, 'a');
    home.removeIdle();
    expect(await programsIn(log)).toEqual(['p']);
    time.shiftMs = 700_000;
    home.removeIdle();
    await homeFixtures.waitUntil(async () => (await programsIn(log)).length === 0);
    await home.reserve(reservation('b'));
    expect(await home.cover(reservation('b'))).toBe(true);
    expect(await programsIn(log)).toEqual(['p']);
  });

  test('a program that is used while it is being removed is recorded again', async () => {
    const log = homeFixtures.createLog();
    const time = homeFixtures.createShiftedClock();
    const home = homeFixtures.createPartition({ log, producer: 'home', time });
    await runRetainedTurn(home, 'a');
    time.shiftMs = 700_000;
    log.losesAnswers = true;
    home.removeIdle();
    await homeFixtures.waitUntil(async () => (await programsIn(log)).length === 0);
    const back = await home.reserve(reservation('b'));
    expect(back.isOk && back.value.isCovered).toBe(false);
    log.losesAnswers = false;
    expect(await home.cover(reservation('b'))).toBe(true);
    home.dispose();
    const next = homeFixtures.createPartition({ log, producer: 'next' });
    const beyond = await next.reserve({ ...reservation('c'), budgetTokens: 2 * TURN_TOKENS });
    expect(beyond.isErr).toBe(true);
  });

  test('reports an unresponsive log as unavailable within the load timeout', async () => {
    const log = homeFixtures.createLog();
    const unresponsive = Object.create(log) as keyedLogTesting.MemoryKeyedLog;
    unresponsive.newest = () => new Promise<never>(() => {});
    const home = homeFixtures.createPartition({ log: unresponsive, producer: 'home' });
    const startedAt = Date.now();
    const result = await home.reserve(reservation('a'));
    expect(result.isErr && result.error.kind).toBe('log-unavailable');
    expect(Date.now() - startedAt).toBeLessThan(1_250);
  });

  test('a watermark that is being lowered covers no tokens above the new value', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ log, producer: 'home' });
    await home.reserve(reservation('a'));
    await home.cover(reservation('a'));
    home.settle({ program: 'p', call: 'a', tokens: 20, isKept: false }, 'here');
    log.outage = keyedLog.LOG_FAILURES.LOST;
    await homeFixtures.waitForLowering();
    const next = await home.reserve(reservation('b'));
    expect(next.isOk && next.value.isCovered).toBe(false);
    log.outage = undefined;
    expect(await home.cover(reservation('b'))).toBe(true);
  });

  test('an append that took effect without a response is not mistaken for a later one', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ log, producer: 'first' });
    await home.reserve({ ...reservation('a'), program: 'other' });
    await homeFixtures.waitForWrites();
    log.losesAnswers = true;
    await home.reserve(reservation('b'));
    await homeFixtures.waitForWrites();
    // Now the log rejects the repeated append while another program requests a record.
    log.losesAnswers = false;
    log.outage = 'unavailable';
    await homeFixtures.waitForWrites();
    const request = { ...reservation('c'), program: 'third' };
    await home.reserve(request);
    await homeFixtures.waitForWrites();
    log.outage = undefined;
    expect(await home.cover(request)).toBe(true);
    const state = await keyedLog.readAllNewestRecords(log, homeFixtures.PARTITION);
    expect(state.isOk && state.value.records.map(({ key }) => key)).toContain('third');
  });

  test('repeats an append without a response, so that it takes effect once', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ log, producer: 'home' });
    await home.reserve({ ...reservation('other'), program: 'other' });
    log.losesAnswers = true;
    await home.reserve(reservation('first'));
    await home.reserve(reservation('second'));
    await homeFixtures.waitForWrites();
    log.losesAnswers = false;
    expect(await home.cover(reservation('second'))).toBe(true);
    const state = await keyedLog.readAllNewestRecords(log, homeFixtures.PARTITION);
    expect(state.isOk && state.value.records.map(({ key }) => key)).toEqual(['other', 'p']);
  });

  test('a superseded owner charges the tokens that its successor recorded', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    await second.reserve(reservation('b'));
    await homeFixtures.waitForWrites();
    // The first owner does not know yet that it is superseded: the grants of both owners together
    // must fit the budget.
    let granted = 2 * TURN_TOKENS;
    for (let turn = 0; turn < 6; turn += 1) {
      for (const home of [first, second]) {
        const request = reservation(`${turn}.${home === first ? 'a' : 'b'}`);
        const result = await home.reserve(request);
        if (result.isOk && (await home.cover(request))) granted += TURN_TOKENS;
      }
    }
    expect(granted).toBeLessThanOrEqual(BUDGET + TURN_TOKENS);
  });

  // A record whose key the log cannot hold ended all writes of its partition.
  test('refuses a program whose id is too long for the log and writes those of others', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ log, producer: 'home' });
    const long = { ...reservation('long'), program: '\xe9'.repeat(128) };
    const results = await Promise.all([home.reserve(long), home.reserve(reservation('a'))]);
    expect(results.map((result) => result.isErr && result.error.kind)).toEqual([
      'home-unavailable',
      false,
    ]);
    expect(await home.cover(long)).toBe(false);
    const { call, program } = long;
    expect(await home.settle({ call, program, tokens: 0, isKept: true }, 'here')).toBe(true);
    expect(await home.cover(reservation('a'))).toBe(true);
    await home.release();
    expect(await programsIn(log)).toEqual(['p']);
  });

  // One exception in a write ended all further writes of the partition.
  test('continues to write after an append that threw, which it repeats unchanged', async () => {
    const log = homeFixtures.createLog();
    const { append } = log;
    log.append = async (...call) => {
      log.append = append;
      await log.append(...call);
      throw new RangeError('The response is malformed.');
    };
    const home = homeFixtures.createPartition({ log, producer: 'home' });
    await home.reserve(reservation('a'));
    await home.reserve({ ...reservation('b'), program: 'q' });
    expect(await home.cover(reservation('a'))).toBe(true);
    expect(await home.cover({ ...reservation('b'), program: 'q' })).toBe(true);
    expect(await programsIn(log)).toEqual(['p', 'q']);
  });
});

async function runRetainedTurn(home: homePartition.HomePartition, call: string): Promise<void> {
  await home.reserve(reservation(call));
  await home.cover(reservation(call));
  await home.settle({ program: 'p', call, tokens: 20, isKept: true }, 'here');
}

async function programsIn(log: keyedLogTesting.MemoryKeyedLog): Promise<string[]> {
  const state = await keyedLog.readAllNewestRecords(log, homeFixtures.PARTITION);
  return state.isOk ? state.value.records.map(({ key }) => key) : [];
}

function reservation(call: string): Reservation {
  return { program: 'p', call, budgetTokens: BUDGET, mostTokens: TURN_TOKENS };
}
