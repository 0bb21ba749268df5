import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as homeFixtures from './testing/homeFixtures.js';
import type { Reservation } from './Types.js';

const { describe, expect, test } = jestGlobals;

const TURNS = 7;
const TURN_MS = 400;
const PAUSE_MS = 50;
const USED_TOKENS = 257;
const MOST_TOKENS = 567;
const BUDGET = 4_536;
const OUTAGE = { start: 4_000, end: 9_000 };
const PROGRAM_INTERVAL_MS = 130;
const STEP_MS = 10;
const CONTINUING = { producer: 'home', programsContinueDuringOutages: true };

/** What a program of the replay has received. */
interface Replayed {
  readonly startedAt: clock.Milliseconds;
  tokens: number;
  tokensAtOutageEnd: number;
  finishedAt: clock.Milliseconds;
  isRefused: boolean;
}

describe('HomePartition', () => {
  // Programs stalled at their second turn while the store was silent, and lost most of their value.
  test('programs continue during an outage, and those that start in it continue after it', async () => {
    const { programs } = await replay({ isContinuing: true, hasOutage: true });
    const spanOf = ({ finishedAt, startedAt }: Replayed): number => finishedAt - startedAt;
    const running = programs.filter(({ startedAt }) => startedAt < OUTAGE.start);
    const late = programs.filter(
      ({ startedAt }) => startedAt >= OUTAGE.start && startedAt < OUTAGE.end - 3 * TURN_MS,
    );
    expect(programs.filter(({ isRefused }) => isRefused)).toHaveLength(0);
    expect(Math.max(...running.map(spanOf))).toBeLessThan(TURNS * (TURN_MS + PAUSE_MS) + 100);
    expect(new Set(late.map(({ tokensAtOutageEnd }) => tokensAtOutageEnd))).toEqual(
      new Set([MOST_TOKENS]),
    );
    expect(programs.every(({ tokens }) => tokens === TURNS * USED_TOKENS)).toBe(true);
    const former = await replay({ isContinuing: false, hasOutage: true });
    expect(former.programs.some((program) => spanOf(program) > OUTAGE.end - OUTAGE.start)).toBe(
      true,
    );
  });

  // The partition dropped its writes when it was released in an outage, and the output was forgotten.
  test('output without a record is charged after its home was released during the outage', async () => {
    const time = new clock.ManualClock();
    const log = homeFixtures.createLog();
    const options = { log, time, programsContinueDuringOutages: true };
    const home = homeFixtures.createPartition({ ...options, producer: 'former' });
    const next = homeFixtures.createPartition({ ...options, producer: 'next' });
    await home.settle({ program: 'other', call: 'other', tokens: 0, isKept: false }, 'here');
    log.outage = keyedLog.LOG_FAILURES.LOST;
    expect((await home.reserve(requestOf('p', 'a'))).unwrapOr(undefined)).toEqual({
      isCovered: false,
      uncoveredTokens: MOST_TOKENS,
    });
    home.settle({ program: 'p', call: 'a', tokens: MOST_TOKENS, isKept: false }, 'here');
    const released = home.release();
    await advance(time, 1_500);
    await released;
    log.outage = undefined;
    await advance(time, 500);
    const budgetTokens = 2 * MOST_TOKENS - 1;
    const granted = await next.reserve({ ...requestOf('p', 'b'), budgetTokens });
    expect(granted.isErr && granted.error.kind).toBe('budget-exhausted');
    // The raised watermark was written instead, which charged turns that never ran.
    const precise = { ...requestOf('p', 'b'), budgetTokens: 2 * MOST_TOKENS };
    expect((await next.reserve(precise)).isOk).toBe(true);
    home.dispose();
    next.dispose();
  });

  // Turns that were settled during the append reduced what it covered, and nothing wrote again, so the
  // output of the last turns of a budget was held until their deadline.
  test('output is covered after an outage in which earlier turns have ended', async () => {
    const time = new clock.ManualClock();
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ ...CONTINUING, log, time });
    await home.settle({ program: 'other', call: 'other', tokens: 0, isKept: false }, 'here');
    log.outage = keyedLog.LOG_FAILURES.LOST;
    const turn = (call: string): Reservation => ({
      ...requestOf('p', call),
      budgetTokens: 300,
      mostTokens: 100,
    });
    for (const call of ['a', 'b']) {
      await home.reserve(turn(call));
      home.settle({ program: 'p', call, tokens: 40, isKept: false }, 'here');
    }
    await home.reserve(turn('c'));
    log.outage = undefined;
    const covered = home.cover(turn('c'));
    await advance(time, 1_500);
    expect(await covered).toBe(true);
    home.dispose();
  });

  // Each repetition would be allowed to deliver as much again.
  test('a turn that is reserved again during an outage gets no second allowance', async () => {
    const log = homeFixtures.createLog();
    const home = homeFixtures.createPartition({ ...CONTINUING, log });
    await home.settle({ program: 'other', call: 'other', tokens: 0, isKept: false }, 'here');
    log.outage = keyedLog.LOG_FAILURES.LOST;
    await home.reserve(requestOf('p', 'a'));
    const repeated = await home.reserve(requestOf('p', 'a'));
    expect(repeated.unwrapOr(undefined)).toEqual({ isCovered: false });
    home.dispose();
  });

  // Each home that was lost in an outage let a program exceed its budget by the maximum of one turn.
  test('a program exceeds its budget by one turn at most, however many homes are lost in outages', async () => {
    const time = new clock.ManualClock();
    const log = homeFixtures.createLog();
    const budgetTokens = 3 * MOST_TOKENS;
    let delivered = 0;
    for (let loss = 0; loss < 4; loss += 1) {
      const home = homeFixtures.createPartition({
        ...CONTINUING,
        producer: `home-${loss}`,
        log,
        time,
      });
      await home.settle({ program: 'other', call: 'other', tokens: 0, isKept: false }, 'here');
      log.outage = keyedLog.LOG_FAILURES.LOST;
      const granted = await home.reserve({ ...requestOf('p', `call-${loss}`), budgetTokens });
      delivered += granted.isOk ? (granted.value.uncoveredTokens ?? 0) : 0;
      home.dispose();
      log.outage = undefined;
    }
    const last = homeFixtures.createPartition({ ...CONTINUING, producer: 'last', log, time });
    for (let turn = 0; turn < 10; turn += 1) {
      const request = { ...requestOf('p', `turn-${turn}`), budgetTokens };
      if ((await last.reserve(request)).isErr) break;
      expect(await last.cover(request)).toBe(true);
      delivered += MOST_TOKENS;
      last.settle({ program: 'p', call: request.call, tokens: MOST_TOKENS, isKept: false }, 'here');
    }
    last.dispose();
    expect(delivered).toBe(budgetTokens + MOST_TOKENS);
  });

  test('a program gets an allowance at a home to which a former one has released the partition', async () => {
    const log = homeFixtures.createLog();
    for (const producer of ['first', 'second', 'third']) {
      const home = homeFixtures.createPartition({ ...CONTINUING, producer, log });
      await home.settle({ program: 'other', call: 'other', tokens: 0, isKept: false }, 'here');
      log.outage = keyedLog.LOG_FAILURES.LOST;
      const granted = await home.reserve(requestOf(`program-of-${producer}`, 'a'));
      expect(granted.unwrapOr(undefined)).toMatchObject({ uncoveredTokens: MOST_TOKENS });
      log.outage = undefined;
      expect(await home.cover(requestOf(`program-of-${producer}`, 'a'))).toBe(true);
      await home.release();
    }
  });

  test('of two homes that read a partition at the same time, one gets the right to grant allowances', async () => {
    const time = new clock.ManualClock();
    const log = homeFixtures.createLog();
    const homes = ['first', 'second'].map((producer) =>
      homeFixtures.createPartition({ ...CONTINUING, producer, log, time }),
    );
    const other = { program: 'other', call: 'other', tokens: 0, isKept: false };
    await Promise.all(homes.map((home) => home.settle(other, 'here')));
    await advance(time, 1_000);
    log.outage = keyedLog.LOG_FAILURES.LOST;
    const grants = await Promise.all(homes.map((home) => home.reserve(requestOf('p', 'a'))));
    const allowances = grants.map((granted) => granted.unwrapOr(undefined)?.uncoveredTokens ?? 0);
    expect(allowances.sort((left, right) => left - right)).toEqual([0, MOST_TOKENS]);
    // The one without the right does not take it from the other one when it releases the partition.
    log.outage = undefined;
    await advance(time, 1_000);
    const released = homes.map((home) => home.release());
    await advance(time, 1_000);
    await Promise.all(released);
    homes.forEach((home) => home.dispose());
  });

  test('a home grants allowances again once the programs of a lost home are forgotten', async () => {
    const time = new clock.ManualClock();
    const log = homeFixtures.createLog();
    const lost = homeFixtures.createPartition({ ...CONTINUING, producer: 'lost', log, time });
    await lost.settle({ program: 'other', call: 'other', tokens: 0, isKept: false }, 'here');
    lost.dispose();
    const home = homeFixtures.createPartition({ ...CONTINUING, producer: 'next', log, time });
    const allowanceOf = async (program: string): Promise<number | undefined> => {
      const request = requestOf(program, `${program}/1`);
      await home.settle({ program: 'other', call: 'other', tokens: 0, isKept: false }, 'here');
      await home.reserve(requestOf('other', `before ${program}`));
      await homeFixtures.flushEvents();
      log.outage = keyedLog.LOG_FAILURES.LOST;
      const granted = await home.reserve(request);
      log.outage = undefined;
      await advance(time, 1_000);
      return granted.isOk ? granted.value.uncoveredTokens : undefined;
    };
    expect(await allowanceOf('early')).toBeUndefined();
    time.advance(600_000);
    expect(await allowanceOf('late')).toBe(MOST_TOKENS);
    home.dispose();
  });

  // A watermark that is raised or lowered too often would load the store in calm operation.
  test('the higher watermark needs fewer records in calm operation', async () => {
    const former = await replay({ isContinuing: false, hasOutage: false });
    const continuing = await replay({ isContinuing: true, hasOutage: false });
    expect(continuing.recordCount).toBeLessThan(former.recordCount / 2);
  });
});

/** Replays programs that start at a constant rate at one home. */
async function replay(options: {
  readonly isContinuing: boolean;
  readonly hasOutage: boolean;
}): Promise<{ readonly programs: readonly Replayed[]; readonly recordCount: number }> {
  const time = new clock.ManualClock();
  const log = homeFixtures.createSilentLog(
    time,
    () => options.hasOutage && time.now() >= OUTAGE.start && time.now() < OUTAGE.end,
  );
  const home = homeFixtures.createPartition({
    log,
    producer: 'home',
    time,
    programsContinueDuringOutages: options.isContinuing,
  });
  const programs: Replayed[] = [];

  const runProgram = async (program: string, state: Replayed): Promise<void> => {
    for (let turn = 0; turn < TURNS; turn += 1) {
      const call = `${program}.${turn}`;
      const request = requestOf(program, call);
      const granted = await home.reserve(request);
      state.isRefused = granted.isErr;
      if (granted.isErr) return;
      const { isCovered, uncoveredTokens = 0 } = granted.value;
      const first = isCovered ? USED_TOKENS : Math.min(USED_TOKENS, uncoveredTokens);
      await time.sleep(TURN_MS);
      state.tokens += first;
      while (first < USED_TOKENS && !(await home.cover(request)));
      state.tokens += USED_TOKENS - first;
      home.settle({ program, call, tokens: USED_TOKENS, isKept: false }, 'here');
      state.finishedAt = time.now();
      await time.sleep(PAUSE_MS);
    }
  };

  for (let now = 0; now < 2 * OUTAGE.end; now += STEP_MS) {
    if (now % PROGRAM_INTERVAL_MS === 0 && now < OUTAGE.end) {
      const state = { startedAt: now, tokens: 0, tokensAtOutageEnd: 0, finishedAt: 0 };
      programs.push({ ...state, isRefused: false });
      runProgram(`program-${now}`, programs.at(-1)!);
    }
    await advance(time, STEP_MS);
    if (time.now() === OUTAGE.end)
      programs.forEach((program) => {
        program.tokensAtOutageEnd = program.tokens;
      });
  }
  home.dispose();
  return { programs, recordCount: log.recordCount };
}

function requestOf(program: string, call: string): Reservation {
  return { program, call, budgetTokens: BUDGET, mostTokens: MOST_TOKENS, isRetained: false };
}

async function advance(time: clock.ManualClock, durationMs: clock.Milliseconds): Promise<void> {
  for (let spent = 0; spent < durationMs; spent += STEP_MS) {
    time.advance(STEP_MS);
    await homeFixtures.flushEvents();
  }
}
