import * as jestGlobals from '@jest/globals';
import * as keyedLog from '@limpettack/keyed-log';
import type * as keyedLogTesting from '@limpettack/keyed-log/testing';
import type * as homePartition from './HomePartition.js';
import * as homeFixtures from './testing/homeFixtures.js';
import type { Reservation } from './Types.js';

const { describe, expect, test } = jestGlobals;

const TURN = 100;
const BUDGET = 400;

describe('HomePartition', () => {
  test('hands out no more than the budget, however often the partition changes hands', async () => {
    const log = homeFixtures.createLog();
    let handedOut = 0;
    for (let owner = 0; owner < 6; owner += 1) {
      const home = homeFixtures.createPartition({ log, producer: `home-${owner}` });
      for (let turn = 0; turn < 3; turn += 1) {
        const call = `${owner}.${turn}`;
        if ((await home.reserve(reservation(call))).isErr) break;
        if (!(await home.cover(reservation(call)))) break;
        home.settle({ program: 'p', call, tokens: 60, isKept: false }, 'here');
        handedOut += 60;
      }
      await home.release();
    }
    expect(handedOut).toBeGreaterThan(0);
    expect(handedOut).toBeLessThanOrEqual(BUDGET + TURN);
  });

  test('a partition that comes back to a process writes under a producer of its own', async () => {
    const log = homeFixtures.createLog();
    const fleet = homeFixtures.createFleet(log);
    for (let round = 0; round < 5; round += 1) {
      const call = `call-${round}`;
      await fleet.server.reserve(reservation(call), false);
      await fleet.server.cover(reservation(call));
      fleet.server.settle({ program: 'p', call, tokens: TURN, isKept: false }, 'here');
      await fleet.server.releaseAll();
    }
    const last = await fleet.server.reserve(reservation('last'), false);
    expect(last.isErr && last.error.kind).toBe('budget-exhausted');
    await fleet.dispose();
  });

  test('counts what an owner that vanished may have handed out', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    await homeFixtures.settleWrites();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    let granted = 0;
    for (let turn = 0; turn < 8; turn += 1) {
      if ((await second.reserve(reservation(`b${turn}`))).isOk) granted += TURN;
    }
    expect(granted).toBeLessThanOrEqual(BUDGET - TURN);
  });

  test('a program goes on after its home was lost, though its budget is small', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    first.settle({ program: 'p', call: 'a', tokens: TURN / 2, isKept: false }, 'here');
    await homeFixtures.settleWrites();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    expect((await second.reserve(reservation('b'))).isOk).toBe(true);
    expect((await second.reserve(reservation('c'))).isOk).toBe(true);
  });

  test('what is ahead of use ends no program whose budget holds one more turn', async () => {
    const log = homeFixtures.createLog();
    const small = { ...reservation('a'), budgetTokens: 2 * TURN };
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(small);
    await first.cover(small);
    first.dispose();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    expect((await second.reserve({ ...small, call: 'b' })).isOk).toBe(true);
  });

  test('covers nothing that is not on record while the log is away', async () => {
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

  test('homes that vanish before their records are written lose count of nothing', async () => {
    const log = homeFixtures.createLog();
    let handedOut = 0;
    for (let owner = 0; owner < 8; owner += 1) {
      // Each home answers at once and is gone before its append is.
      const home = homeFixtures.createPartition({ log, producer: `home-${owner}` });
      const granted = await home.reserve(reservation(`${owner}`));
      if (granted.isOk && granted.value.isCovered) handedOut += TURN;
      home.dispose();
    }
    expect(handedOut).toBeLessThanOrEqual(BUDGET);
  });

  test('a program that pauses counts at a later home with what it has used', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    first.settle({ program: 'p', call: 'a', tokens: 20, isKept: false }, 'here');
    await homeFixtures.settlePause();
    first.dispose();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    for (const call of ['b', 'c', 'd']) {
      expect((await second.reserve(reservation(call))).isOk).toBe(true);
    }
  });

  test('a kept turn counts with what it used once its end may be sent, though its home vanishes', async () => {
    const log = homeFixtures.createLog();
    const used = TURN / 5;
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

  test('parallel turns that are kept count with what they used', async () => {
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

  test('a turn whose first home did not answer counts once at the next one', async () => {
    const log = homeFixtures.createLog();
    const small = { ...reservation('a'), budgetTokens: 1.5 * TURN };
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(small);
    await homeFixtures.settleWrites();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    const again = await second.reserve(small);
    expect(again.isOk && again.value.isCovered).toBe(true);
  });

  test('a later home settles a turn that a former one set tokens aside for', async () => {
    const log = homeFixtures.createLog();
    const small = { ...reservation('a'), budgetTokens: 1.5 * TURN };
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(small);
    await homeFixtures.settleWrites();
    first.dispose();
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    await second.settle({ program: 'p', call: 'a', tokens: 0, isKept: false }, 'here');
    expect((await second.reserve({ ...small, call: 'b' })).isOk).toBe(true);
  });

  test('what a later home may free is not handed out again without a record', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const settlement = { program: 'p', call: 'a', tokens: 0, isKept: false };
    await first.settle(settlement, 'here');
    // One turn was written ahead; a second one could only use what the first one gave back.
    const ahead = await first.reserve(reservation('b'));
    const beyond = await first.reserve(reservation('c'));
    expect(ahead.isOk && ahead.value.isCovered).toBe(true);
    expect(beyond.isOk && beyond.value.isCovered).toBe(false);
    log.outage = undefined;
  });

  test('removes a program without use from the log, and knows it anew', async () => {
    const log = homeFixtures.createLog();
    const time = homeFixtures.createShiftedClock();
    const home = homeFixtures.createPartition({ log, producer: 'home', time });
    await keepTurn(home, 'a');
    home.removeIdle();
    expect(await programsIn(log)).toEqual(['p']);
    time.shiftMs = 700_000;
    home.removeIdle();
    await homeFixtures.until(async () => (await programsIn(log)).length === 0);
    await home.reserve(reservation('b'));
    expect(await home.cover(reservation('b'))).toBe(true);
    expect(await programsIn(log)).toEqual(['p']);
  });

  test('a program that returns while it is removed is on record again', async () => {
    const log = homeFixtures.createLog();
    const time = homeFixtures.createShiftedClock();
    const home = homeFixtures.createPartition({ log, producer: 'home', time });
    await keepTurn(home, 'a');
    time.shiftMs = 700_000;
    log.losesAnswers = true;
    home.removeIdle();
    await homeFixtures.until(async () => (await programsIn(log)).length === 0);
    const back = await home.reserve(reservation('b'));
    expect(back.isOk && back.value.isCovered).toBe(false);
    log.losesAnswers = false;
    expect(await home.cover(reservation('b'))).toBe(true);
    home.dispose();
    const next = homeFixtures.createPartition({ log, producer: 'next' });
    const beyond = await next.reserve({ ...reservation('c'), budgetTokens: 2 * TURN });
    expect(beyond.isErr).toBe(true);
  });

  test('says soon that a log that does not answer cannot be reached', async () => {
    const log = homeFixtures.createLog();
    const silent = Object.create(log) as keyedLogTesting.MemoryKeyedLog;
    silent.newest = () => new Promise<never>(() => {});
    const home = homeFixtures.createPartition({ log: silent, producer: 'home' });
    const startedAt = Date.now();
    const answer = await home.reserve(reservation('a'));
    expect(answer.isErr && answer.error.kind).toBe('log-unavailable');
    expect(Date.now() - startedAt).toBeLessThan(1_250);
  });

  test('a watermark that is being lowered covers nothing above it', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ log, producer: 'home' });
    await home.reserve(reservation('a'));
    await home.cover(reservation('a'));
    home.settle({ program: 'p', call: 'a', tokens: 20, isKept: false }, 'here');
    log.outage = keyedLog.LOG_FAILURES.LOST;
    await homeFixtures.settlePause();
    const next = await home.reserve(reservation('b'));
    expect(next.isOk && next.value.isCovered).toBe(false);
    log.outage = undefined;
    expect(await home.cover(reservation('b'))).toBe(true);
  });

  test('an append that took effect without an answer is not taken for a later one', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ log, producer: 'first' });
    await home.reserve({ ...reservation('a'), program: 'other' });
    await homeFixtures.settleWrites();
    log.losesAnswers = true;
    await home.reserve(reservation('b'));
    await homeFixtures.settleWrites();
    // Now the log turns the repeated append away, and meanwhile another program wants a record.
    log.losesAnswers = false;
    log.outage = 'unavailable';
    await homeFixtures.settleWrites();
    const wanted = { ...reservation('c'), program: 'third' };
    await home.reserve(wanted);
    await homeFixtures.settleWrites();
    log.outage = undefined;
    expect(await home.cover(wanted)).toBe(true);
    const state = await keyedLog.readAllNewest(log, homeFixtures.PARTITION);
    expect(state.isOk && state.value.records.map(({ key }) => key)).toContain('third');
  });

  test('writes again what may have been appended without an answer, once', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ log, producer: 'home' });
    await home.reserve({ ...reservation('other'), program: 'other' });
    log.losesAnswers = true;
    await home.reserve(reservation('first'));
    await home.reserve(reservation('second'));
    await homeFixtures.settleWrites();
    log.losesAnswers = false;
    expect(await home.cover(reservation('second'))).toBe(true);
    const state = await keyedLog.readAllNewest(log, homeFixtures.PARTITION);
    expect(state.isOk && state.value.records.map(({ key }) => key)).toEqual(['other', 'p']);
  });

  test('an owner that another one has overtaken counts what that one wrote', async () => {
    const log = homeFixtures.createLog();
    const first = homeFixtures.createPartition({ log, producer: 'first' });
    const second = homeFixtures.createPartition({ log, producer: 'second' });
    await first.reserve(reservation('a'));
    await first.cover(reservation('a'));
    await second.reserve(reservation('b'));
    await homeFixtures.settleWrites();
    // The first owner does not know yet that it was overtaken: all that both grant must fit.
    let granted = 2 * TURN;
    for (let turn = 0; turn < 6; turn += 1) {
      for (const home of [first, second]) {
        const request = reservation(`${turn}.${home === first ? 'a' : 'b'}`);
        const result = await home.reserve(request);
        if (result.isOk && (await home.cover(request))) granted += TURN;
      }
    }
    expect(granted).toBeLessThanOrEqual(BUDGET + TURN);
  });
});

async function keepTurn(home: homePartition.HomePartition, call: string): Promise<void> {
  await home.reserve(reservation(call));
  await home.cover(reservation(call));
  await home.settle({ program: 'p', call, tokens: 20, isKept: true }, 'here');
}

async function programsIn(log: keyedLogTesting.MemoryKeyedLog): Promise<string[]> {
  const state = await keyedLog.readAllNewest(log, homeFixtures.PARTITION);
  return state.isOk ? state.value.records.map(({ key }) => key) : [];
}

function reservation(call: string): Reservation {
  return { program: 'p', call, budgetTokens: BUDGET, mostTokens: TURN };
}
