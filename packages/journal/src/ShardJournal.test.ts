import * as jestGlobals from '@jest/globals';
import * as testFixtures from './testing/testFixtures.js';

const { afterEach, beforeEach, describe, expect, test } = jestGlobals;
const { until, wordsOf } = testFixtures;

const DURABLE = { replicateInOutage: false };

describe('ShardJournal', () => {
  let world: ReturnType<typeof testFixtures.createWorld>;

  beforeEach(() => {
    world = testFixtures.createWorld();
  });

  afterEach(() => world.dispose());

  async function startPair() {
    const a = await world.start('a');
    await until(() => a.owned(0) !== undefined);
    const b = await world.start('b');
    await until(() => b.isStandby(0) && a.owned(0)?.ownership.standby?.name === 'b');
    return { a, b };
  }

  function kill(name: string) {
    world.networks.cut.add(name);
    world.cutFromLog.add(name);
    world.members.set(name, { state: 'suspected' });
  }

  test('owns many shards within a second and appends in groups', async () => {
    const a = await world.start('a', { shardCount: 24 });
    const shards = Array.from({ length: 24 }, (_, shard) => shard);
    await until(() => shards.every((shard) => a.owned(shard) !== undefined), 1_000);
    const before = world.log.appends;
    const words = Array.from({ length: 50 }, (_, index) => `w${index}`);
    const results = await Promise.all(words.map((word) => a.append(0, { word }, DURABLE)));
    expect(results.every((result) => result.isOk)).toBe(true);
    expect(wordsOf(a.owned(0)?.state)).toEqual(words);
    expect(world.log.appends - before).toBeLessThan(5);
  });

  test('counts a record once when answers or requests are lost', async () => {
    const { a, b } = await startPair();
    world.log.loseAnswers = 1;
    expect((await a.append(0, { word: 'one' }, DURABLE)).isOk).toBe(true);
    world.log.loseRequests = 1;
    expect((await a.append(0, { word: 'two' }, DURABLE)).isOk).toBe(true);
    expect(wordsOf(a.owned(0)?.state)).toEqual(['one', 'two']);
    await until(() => b.readCounts().bodies === 2);
  });

  test('the standby takes over from a killed owner with its state', async () => {
    const { a, b } = await startPair();
    await a.append(0, { word: 'kept' }, DURABLE);
    kill('a');
    await until(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['kept']);
  });

  test('a fenced owner can neither append nor confirm its authority', async () => {
    const { a, b } = await startPair();
    kill('a');
    await until(() => b.owned(0) !== undefined);
    expect((await a.confirmAuthority(0, 0)).isErr).toBe(true);
    world.cutFromLog.clear();
    await until(() => a.isLogAvailable());
    const late = await a.append(0, { word: 'late' }, DURABLE);
    expect(late.isErr && late.error.kind).toBe('not-owner');
    await until(() => a.owned(0) === undefined);
    await b.append(0, { word: 'next' }, DURABLE);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['next']);
  });
});
