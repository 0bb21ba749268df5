import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as ownedLimit from './OwnedLimit.js';
import * as shares from './shares.js';

const { describe, expect, test } = jestGlobals;

const LIMIT = { ratePerSecond: 40, burst: 40 };
const WINDOW_MS = 5_000;

/** First calls wait longer than their maximum if calls of running programs wait, too. */
const LOW_LIMIT = { ratePerSecond: 10, burst: 10 };

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

  // A turn at a VM that has not seen its program was rejected like the start of a new program.
  test('a program that another VM has begun is running', async () => {
    const { limit, time } = createLimit();
    await limit.take({ ...createRequest(1, true), program: 'p', running: ['q'] }, LOW_LIMIT);
    await advance(time, WINDOW_MS);
    await limit.take(createRequest(9), LOW_LIMIT);
    const take = async (program: string): Promise<number> =>
      (await limit.take({ ...createRequest(1, true), program }, LOW_LIMIT)).granted;
    const grants = Promise.all([take('r'), take('p'), take('q')]);
    await advance(time, 300);
    expect(await grants).toEqual([0, 1, 1]);
  });

  // An expired program took precedence until another program was added.
  test.each([
    [19_995, 1],
    [20_000, 0],
  ])('a program whose last call was %d ms ago is granted %d', async (ageMs, expected) => {
    const { limit, time } = createLimit();
    const request = { ...createRequest(1, true), program: 'p' };
    await limit.take(request, LOW_LIMIT);
    await advance(time, ageMs);
    await limit.take(createRequest(9), LOW_LIMIT);
    const waiting = [1, 2, 3].map(() => limit.take(createRequest(1), LOW_LIMIT));
    const response = limit.take(request, LOW_LIMIT);
    await advance(time, 600);
    await Promise.all(waiting);
    expect((await response).granted).toBe(expected);
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
  // The number of VMs has no part in it: those that cannot reach the owner share one deputy.
  test.each([1, 4, 40, 400])(
    'the owner and its deputy together stay within a limit of %d',
    (ratePerSecond) => {
      const limit = { ratePerSecond, burst: ratePerSecond };
      const seconds = WINDOW_MS / 1_000;
      const granted = [shares.ownerLimit(limit), shares.deputyLimit(limit)].map(
        (share) => share.ratePerSecond * seconds + share.burst,
      );
      const allowed = (limit.ratePerSecond * seconds + limit.burst) * 1.1 + 1;
      expect(granted[0]! + granted[1]!).toBeLessThanOrEqual(allowed);
    },
  );
});

function createLimit(memberCount = 4): { limit: ownedLimit.OwnedLimit; time: clock.ManualClock } {
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
      shareOf: shares.ownerLimit,
      initialTokens: shares.initialTokens,
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
