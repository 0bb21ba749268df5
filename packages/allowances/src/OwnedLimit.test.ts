import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as ownedLimit from './OwnedLimit.js';
import * as shares from './shares.js';

const { describe, expect, test } = jestGlobals;

const LIMIT = { ratePerSecond: 40, burst: 40 };
const WINDOW_MS = 5_000;

describe('OwnedLimit', () => {
  test('hands out no more than rate and burst in any window, however much is asked', async () => {
    const { limit, time } = createLimit();
    const grants: number[] = [];
    for (let at = 0; at < 15_000; at += 10) {
      for (let asker = 0; asker < 3; asker += 1) {
        limit.take(ask(4), LIMIT).then(({ granted }) => {
          for (let count = 0; count < granted; count += 1) grants.push(time.now());
        });
      }
      time.advance(10);
      await Promise.resolve();
    }
    await Promise.resolve();
    const most = Math.max(...grants.map((start) => countWithin(grants, start, WINDOW_MS)));
    const allowed = LIMIT.ratePerSecond * (WINDOW_MS / 1_000) + LIMIT.burst;
    expect(most).toBeLessThanOrEqual(allowed * 1.1 + 20);
    expect(grants.length).toBeGreaterThan(0.9 * LIMIT.ratePerSecond * 15);
  });

  test('programs under way go before those that begin', async () => {
    const { limit, time } = createLimit();
    await drain(limit, time);
    const order: string[] = [];
    limit.take(ask(1, true), LIMIT).then(({ granted }) => granted > 0 && order.push('begin'));
    limit.take(ask(1), LIMIT).then(({ granted }) => granted > 0 && order.push('going'));
    await advance(time, 250);
    expect(order[0]).toBe('going');
  });

  test('a request whose turn would come too late is refused at once', async () => {
    const { limit, time } = createLimit();
    await drain(limit, time);
    const waiting = Array.from({ length: 40 }, () => limit.take(ask(1), LIMIT));
    const startedAt = time.now();
    const last = await waiting.at(-1)!;
    expect(last.granted).toBe(0);
    expect(last.retryAfterMs).toBeGreaterThan(500);
    expect(time.now()).toBe(startedAt);
  });

  test('hands out ahead only what the VMs can hold together without starving each other', async () => {
    const few = createLimit(2);
    await advance(few.time, 2_000);
    const ahead = { ...ask(1), expected: 16 };
    expect((await few.limit.take(ahead, LIMIT)).granted).toBeGreaterThan(1);
    const many = createLimit(70);
    await advance(many.time, 2_000);
    expect((await many.limit.take(ahead, LIMIT)).granted).toBe(1);
  });

  test('a lowered limit binds from the next request', async () => {
    const { limit, time } = createLimit();
    await advance(time, 2_000);
    const low = { ratePerSecond: 4, burst: 4 };
    const { granted } = await limit.take(ask(40), low);
    expect(granted).toBeLessThanOrEqual(low.burst);
  });
});

describe('shares', () => {
  test('the owner and all VMs that cannot reach it stay within the limit together', () => {
    const members = 13;
    const owner = shares.ownerLimit(LIMIT);
    const detached = shares.detachedLimit(LIMIT, members);
    const seconds = WINDOW_MS / 1_000;
    const rate = owner.ratePerSecond + members * detached.ratePerSecond;
    const burst = owner.burst + members * Math.max(1, detached.burst);
    const allowed = (LIMIT.ratePerSecond * seconds + LIMIT.burst) * 1.1 + 20;
    expect(rate * seconds + burst).toBeLessThanOrEqual(allowed);
  });
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
    }),
  };
}

function ask(needed: number, isBegin = false): Parameters<ownedLimit.OwnedLimit['take']>[0] {
  return { workspace: 'w', needed, expected: 0, isBegin };
}

async function drain(limit: ownedLimit.OwnedLimit, time: clock.ManualClock): Promise<void> {
  await advance(time, 2_000);
  await limit.take(ask(1_000), LIMIT);
}

async function advance(time: clock.ManualClock, spanMs: number): Promise<void> {
  for (let at = 0; at < spanMs; at += 5) {
    time.advance(5);
    await Promise.resolve();
  }
}

function countWithin(times: readonly number[], start: number, spanMs: number): number {
  return times.filter((time) => time >= start && time <= start + spanMs).length;
}
