import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as ownedLimit from './OwnedLimit.js';
import * as shares from './shares.js';
import type { Tolerance } from './Types.js';

const { describe, expect, test } = jestGlobals;

const LIMIT = { ratePerSecond: 40, burst: 40 };
const WINDOW_MS = 5_000;
const TOLERANCE = { requests: 20, windowMs: WINDOW_MS };

/** The owner grants 0.95 of the burst. */
const OWNER_BURST = 38;

describe('OwnedLimit', () => {
  test('grants no more than rate and burst in any window, regardless of the demand', async () => {
    const { limit, time } = createLimit();
    const grants: number[] = [];
    for (let at = 0; at < 15_000; at += 10) {
      for (let request = 0; request < 3; request += 1) {
        limit.take(createRequest(4), LIMIT).then(({ granted }) => {
          for (let count = 0; count < granted; count += 1) grants.push(time.now());
        });
      }
      time.advance(10);
      await Promise.resolve();
    }
    await Promise.resolve();
    const maximum = Math.max(...grants.map((start) => countWithin(grants, start, WINDOW_MS)));
    const allowed = LIMIT.ratePerSecond * (WINDOW_MS / 1_000) + LIMIT.burst;
    expect(maximum).toBeLessThanOrEqual(allowed * 1.1 + 20);
    expect(grants.length).toBeGreaterThan(0.9 * LIMIT.ratePerSecond * 15);
  });

  test('running programs take precedence over new ones', async () => {
    const { limit, time } = createLimit();
    await drain(limit, time);
    const order: string[] = [];
    limit
      .take(createRequest(1, true), LIMIT)
      .then(({ granted }) => granted > 0 && order.push('begin'));
    limit.take(createRequest(1), LIMIT).then(({ granted }) => granted > 0 && order.push('going'));
    await advance(time, 250);
    expect(order[0]).toBe('going');
  });

  test('a request whose expected wait is too long is refused at once', async () => {
    const { limit, time } = createLimit();
    await drain(limit, time);
    const waiting = Array.from({ length: 40 }, () => limit.take(createRequest(1), LIMIT));
    const startedAt = time.now();
    const last = await waiting.at(-1)!;
    expect(last.granted).toBe(0);
    expect(last.retryAfterMs).toBeGreaterThan(500);
    expect(time.now()).toBe(startedAt);
  });

  test('grants in advance only as much as all VMs can prefetch without starving each other', async () => {
    const few = createLimit(2);
    await advance(few.time, 2_000);
    const ahead = { ...createRequest(1), expected: 16 };
    expect((await few.limit.take(ahead, LIMIT)).granted).toBeGreaterThan(1);
    const many = createLimit(70);
    await advance(many.time, 2_000);
    expect((await many.limit.take(ahead, LIMIT)).granted).toBe(1);
  });

  // The new owner does not know the debt, so its own overdraft would add to that of the old one.
  test('the overdraft ends with the owner and returns after a window', async () => {
    const first = createLimit(4, TOLERANCE);
    await advance(first.time, WINDOW_MS);
    expect((await first.limit.take(createRequest(1_000), LIMIT)).granted).toBe(OWNER_BURST + 8);
    const waiting = first.limit.take(createRequest(1), LIMIT);
    first.limit.close();
    expect((await waiting).granted).toBe(0);
    const next = createLimit(4, TOLERANCE);
    expect((await next.limit.take(createRequest(1_000), LIMIT)).granted).toBeLessThan(8);
    await advance(next.time, WINDOW_MS);
    expect((await next.limit.take(createRequest(1_000), LIMIT)).granted).toBe(OWNER_BURST + 8);
  });

  test('first calls wait until the debt is paid back', async () => {
    const { limit, time } = createLimit(4, TOLERANCE);
    await advance(time, WINDOW_MS);
    await limit.take(createRequest(1_000), LIMIT);
    const early = limit.take(createRequest(1, true), LIMIT);
    await advance(time, 300);
    expect((await early).granted).toBe(0);
    await advance(time, 100);
    expect((await limit.take(createRequest(1, true), LIMIT)).granted).toBe(1);
  });

  test('a lowered limit keeps the debt and has no overdraft for a window', async () => {
    const { limit, time } = createLimit(4, TOLERANCE);
    await advance(time, WINDOW_MS);
    await limit.take(createRequest(1_000), LIMIT);
    const low = { ratePerSecond: 10, burst: 10 };
    expect((await limit.take(createRequest(1), low)).retryAfterMs).toBeGreaterThan(900);
    await advance(time, WINDOW_MS - 5);
    const { granted } = await limit.take(createRequest(1_000), low);
    expect(granted).toBeLessThanOrEqual(low.burst);
    await advance(time, 5);
    expect((await limit.take(createRequest(1_000), low)).granted).toBe(8);
  });

  // A turn at a VM that has not seen its program was rejected like the start of a new program.
  test('a program that another VM has begun is running', async () => {
    const { limit, time } = createLimit(4, TOLERANCE);
    await limit.take({ ...createRequest(1, true), program: 'p', running: ['q'] }, LIMIT);
    await advance(time, WINDOW_MS);
    await limit.take(createRequest(OWNER_BURST + 6), LIMIT);
    const take = async (program: string): Promise<number> =>
      (await limit.take({ ...createRequest(1, true), program }, LIMIT)).granted;
    const grants = Promise.all([take('p'), take('q'), take('r')]);
    await advance(time, 300);
    expect(await grants).toEqual([1, 1, 0]);
  });

  test('a lowered limit applies from the next request', async () => {
    const { limit, time } = createLimit();
    await advance(time, 2_000);
    const low = { ratePerSecond: 4, burst: 4 };
    const { granted } = await limit.take(createRequest(40), low);
    expect(granted).toBeLessThanOrEqual(low.burst);
  });
});

describe('shares', () => {
  test('the owner and all VMs that cannot reach it together stay within the limit', () => {
    const members = 13;
    const owner = shares.ownerLimit(LIMIT);
    const fallback = shares.fallbackLimit(LIMIT, members);
    const seconds = WINDOW_MS / 1_000;
    const rate = owner.ratePerSecond + members * fallback.ratePerSecond;
    const burst = owner.burst + members * Math.max(1, fallback.burst);
    const allowed = (LIMIT.ratePerSecond * seconds + LIMIT.burst) * 1.1 + 20;
    expect(rate * seconds + burst).toBeLessThanOrEqual(allowed);
  });
});

function createLimit(
  memberCount = 4,
  tolerance?: Tolerance,
): { limit: ownedLimit.OwnedLimit; time: clock.ManualClock } {
  const time = new clock.ManualClock();
  const logger = new logging.PartLogger('test');
  return {
    time,
    limit: new ownedLimit.OwnedLimit({
      workspace: 'w',
      limit: LIMIT,
      clock: time,
      logger,
      memberCount: () => memberCount,
      tolerance,
    }),
  };
}

function createRequest(
  needed: number,
  isBegin = false,
): Parameters<ownedLimit.OwnedLimit['take']>[0] {
  return { workspace: 'w', needed, expected: 0, isBegin };
}

async function drain(limit: ownedLimit.OwnedLimit, time: clock.ManualClock): Promise<void> {
  await advance(time, 2_000);
  await limit.take(createRequest(1_000), LIMIT);
}

async function advance(time: clock.ManualClock, durationMs: number): Promise<void> {
  for (let at = 0; at < durationMs; at += 5) {
    time.advance(5);
    await Promise.resolve();
  }
}

function countWithin(times: readonly number[], start: number, durationMs: number): number {
  return times.filter((time) => time >= start && time <= start + durationMs).length;
}
