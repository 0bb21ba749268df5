import * as jestGlobals from '@jest/globals';
import * as testFixtures from './testing/testFixtures.js';

const { afterEach, beforeEach, describe, expect, test } = jestGlobals;
const { until, wordsOf } = testFixtures;

const DURABLE = { replicateInOutage: false };
const REPLICABLE = { replicateInOutage: true };

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

  test('in an outage the standby holds records, and the owner journals them afterwards', async () => {
    const { a, b } = await startPair();
    world.log.isDown = true;
    const held = await a.append(0, { word: 'held' }, REPLICABLE);
    expect(held.isOk && held.value.durability).toBe('replicated');
    const refused = await a.append(0, { word: 'refused' }, DURABLE);
    expect(refused.isErr && refused.error.kind).toBe('log-unavailable');
    expect((await a.confirmAuthority(0, 0)).isOk).toBe(true);
    world.log.isDown = false;
    await until(() => a.isLogAvailable());
    await a.append(0, { word: 'newer' }, DURABLE);
    expect(wordsOf(a.owned(0)?.state)).toEqual(['held', 'newer']);
    await until(() => b.readCounts().bodies === 2);
  });

  test('the standby journals held records when the owner dies in the outage', async () => {
    const { a, b } = await startPair();
    world.log.isDown = true;
    await a.append(0, { word: 'one' }, REPLICABLE);
    await a.append(0, { word: 'two' }, REPLICABLE);
    kill('a');
    world.log.isDown = false;
    await until(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['one', 'two']);
    world.cutFromLog.clear();
    await until(() => a.isLogAvailable() && a.owned(0) === undefined);
    const third = await world.start('c');
    await until(() => third.ownership(0)?.epoch === b.ownership(0)?.epoch);
  });

  test('without a standby an outage refuses at once', async () => {
    const a = await world.start('a');
    await until(() => a.owned(0) !== undefined);
    world.log.isDown = true;
    await a.append(0, { word: 'first' }, REPLICABLE);
    const result = await a.append(0, { word: 'second' }, REPLICABLE);
    expect(result.isErr && result.error.kind).toBe('log-unavailable');
    expect((await a.confirmAuthority(0, 0)).isErr).toBe(true);
  });

  test('a record whose request is lost as an outage begins counts once, in its place', async () => {
    const { a, b } = await startPair();
    world.log.loseAnswers = 1;
    const first = a.append(0, { word: 'lost' }, DURABLE);
    await until(() => world.log.loseAnswers === 0);
    world.log.isDown = true;
    await first;
    await a.append(0, { word: 'held' }, REPLICABLE);
    world.log.isDown = false;
    await until(() => b.readCounts().bodies === 2);
    kill('a');
    await until(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(wordsOf(a.owned(0)?.state));
  });

  test('hands its shards over and ends', async () => {
    const { a, b } = await startPair();
    await a.append(0, { word: 'kept' }, DURABLE);
    world.members.set('a', { leaving: true });
    const before = testFixtures.systemClock.now();
    await a.handOver(2_000);
    expect(testFixtures.systemClock.now() - before).toBeLessThan(1_000);
    await until(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['kept']);
    expect(a.owned(0)).toBeUndefined();
  });

  test('a restarted VM, and a third one when both holders are gone, take over', async () => {
    const { a } = await startPair();
    await a.append(0, { word: 'kept' }, DURABLE);
    const c = await world.start('c');
    await until(() => c.ownership(0) !== undefined);
    kill('a');
    kill('b');
    await until(() => c.owned(0) !== undefined);
    expect(wordsOf(c.owned(0)?.state)).toEqual(['kept']);
    await c.dispose();
    const again = await world.start('c', {}, 'c-2');
    await until(() => again.owned(0) !== undefined);
    expect(wordsOf(again.owned(0)?.state)).toEqual(['kept']);
  });

  test('carries the state over the end of the retention, and reports a gap', async () => {
    const retentionMs = 1_600;
    const a = await world.start('a', { retentionMs });
    await until(() => a.owned(0) !== undefined);
    await a.append(0, { word: 'kept' }, DURABLE);
    const kept = () => a.owned(0)?.state.words[0]?.offset ?? 0;
    const firstPlace = kept();
    await until(() => kept() > firstPlace);
    const place = kept();
    await until(() => (world.log.streams.get('journal-0')?.length ?? 0) > place + 1);
    world.log.expire('journal-0', place);
    await a.dispose();
    const b = await world.start('a', { retentionMs: 60_000 }, 'a-2');
    await until(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['kept']);
    expect(b.owned(0)?.hasGap).toBe(false);
    await b.dispose();
    world.log.expire('journal-0', world.log.streams.get('journal-0')?.length ?? 0);
    const c = await world.start('a', {}, 'a-3');
    await until(() => c.owned(0) !== undefined);
    expect(c.owned(0)?.hasGap).toBe(true);
    expect(c.readCounts().gaps).toBe(1);
  });

  test('levels the shares and spreads the claims to all', async () => {
    const options = { shardCount: 8, rebalanceIntervalMs: 50 };
    const journals: Awaited<ReturnType<typeof world.start>>[] = [];
    for (const name of ['a', 'b', 'c', 'd']) journals.push(await world.start(name, options));
    const shards = [0, 1, 2, 3, 4, 5, 6, 7];
    const counts = () =>
      journals.map((journal) => shards.filter((shard) => journal.owned(shard)).length);
    await until(() => Math.max(...counts()) <= 3 && counts().reduce((x, y) => x + y) === 8);
    const epochs = () => journals.map((journal) => shards.map((s) => journal.ownership(s)?.epoch));
    await until(() => epochs().every((row) => `${row}` === `${epochs()[0]}`));
  });

  test('an owner that alone cannot reach the log gives way to its standby', async () => {
    const { a, b } = await startPair();
    world.cutFromLog.add('a');
    await until(() => !a.isLogAvailable());
    const held = await a.append(0, { word: 'held' }, REPLICABLE);
    expect(held.isOk && held.value.durability).toBe('replicated');
    await until(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['held']);
    expect((await a.confirmAuthority(0, 1_000)).isErr).toBe(true);
    expect((await a.append(0, { word: 'late' }, REPLICABLE)).isErr).toBe(true);
  });

  test('a standby that has begun to claim no longer vouches for the owner', async () => {
    const { a, b } = await startPair();
    expect((await a.confirmAuthority(0, 0)).isOk).toBe(true);
    world.log.loseRequests = Number.POSITIVE_INFINITY;
    const before = world.log.appends;
    world.members.set('a', { state: 'suspected' });
    await until(() => world.log.appends > before);
    expect(b.owned(0)).toBeUndefined();
    expect((await a.confirmAuthority(0, 0)).isErr).toBe(true);
    expect((await a.append(0, { word: 'late' }, REPLICABLE)).isErr).toBe(true);
    world.log.loseRequests = 0;
    await until(() => b.owned(0) !== undefined && a.owned(0) === undefined);
  });
});
