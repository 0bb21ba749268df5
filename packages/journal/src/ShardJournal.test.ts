import * as jestGlobals from '@jest/globals';
import * as testFixtures from './testing/testFixtures.js';

const { afterEach, beforeEach, describe, expect, test } = jestGlobals;
const { waitUntil, wordsOf } = testFixtures;

const DURABLE = { replicateInOutage: false };
const REPLICABLE = { replicateInOutage: true };

describe('ShardJournal', () => {
  let cluster: ReturnType<typeof testFixtures.createCluster>;

  beforeEach(() => {
    cluster = testFixtures.createCluster();
  });

  afterEach(() => cluster.dispose());

  async function startPair() {
    const a = await cluster.start('a');
    await waitUntil(() => a.owned(0) !== undefined);
    const b = await cluster.start('b');
    await waitUntil(() => b.isStandby(0) && a.owned(0)?.ownership.standby?.name === 'b');
    return { a, b };
  }

  function disconnect(name: string) {
    cluster.networks.cut.add(name);
    cluster.cutFromLog.add(name);
    cluster.members.set(name, { state: 'suspected' });
  }

  test('owns many shards within a second and appends in batches', async () => {
    const a = await cluster.start('a', { shardCount: 24 });
    const shards = Array.from({ length: 24 }, (_, shard) => shard);
    await waitUntil(() => shards.every((shard) => a.owned(shard) !== undefined), 1_000);
    const before = cluster.log.appends;
    const words = Array.from({ length: 50 }, (_, index) => `w${index}`);
    const results = await Promise.all(words.map((word) => a.append(0, { word }, DURABLE)));
    expect(results.every((result) => result.isOk)).toBe(true);
    expect(wordsOf(a.owned(0)?.state)).toEqual(words);
    expect(cluster.log.appends - before).toBeLessThan(5);
  });

  test('accepts a record once when append responses or requests are lost', async () => {
    const { a, b } = await startPair();
    cluster.log.loseAnswers = 1;
    expect((await a.append(0, { word: 'one' }, DURABLE)).isOk).toBe(true);
    cluster.log.loseRequests = 1;
    expect((await a.append(0, { word: 'two' }, DURABLE)).isOk).toBe(true);
    expect(wordsOf(a.owned(0)?.state)).toEqual(['one', 'two']);
    await waitUntil(() => b.readCounts().bodies === 2);
  });

  test('the standby takes over from an unreachable owner with its state', async () => {
    const { a, b } = await startPair();
    await a.append(0, { word: 'kept' }, DURABLE);
    disconnect('a');
    await waitUntil(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['kept']);
  });

  test('a fenced owner can neither append nor confirm its authority', async () => {
    const { a, b } = await startPair();
    disconnect('a');
    await waitUntil(() => b.owned(0) !== undefined);
    expect((await a.confirmAuthority(0, 0)).isErr).toBe(true);
    cluster.cutFromLog.clear();
    await waitUntil(() => a.isLogAvailable());
    const late = await a.append(0, { word: 'late' }, DURABLE);
    expect(late.isErr && late.error.kind).toBe('not-owner');
    await waitUntil(() => a.owned(0) === undefined);
    await b.append(0, { word: 'next' }, DURABLE);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['next']);
  });

  test('the standby holds records in an outage, and the owner appends them afterwards', async () => {
    const { a, b } = await startPair();
    cluster.log.isDown = true;
    const held = await a.append(0, { word: 'held' }, REPLICABLE);
    expect(held.isOk && held.value.durability).toBe('replicated');
    const refused = await a.append(0, { word: 'refused' }, DURABLE);
    expect(refused.isErr && refused.error.kind).toBe('log-unavailable');
    expect((await a.confirmAuthority(0, 0)).isOk).toBe(true);
    cluster.log.isDown = false;
    await waitUntil(() => a.isLogAvailable());
    await a.append(0, { word: 'newer' }, DURABLE);
    expect(wordsOf(a.owned(0)?.state)).toEqual(['held', 'newer']);
    await waitUntil(() => b.readCounts().bodies === 2);
  });

  test('the standby appends held records when the owner crashes during the outage', async () => {
    const { a, b } = await startPair();
    cluster.log.isDown = true;
    await a.append(0, { word: 'one' }, REPLICABLE);
    await a.append(0, { word: 'two' }, REPLICABLE);
    disconnect('a');
    cluster.log.isDown = false;
    await waitUntil(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['one', 'two']);
    cluster.cutFromLog.clear();
    await waitUntil(() => a.isLogAvailable() && a.owned(0) === undefined);
    const third = await cluster.start('c');
    await waitUntil(() => third.ownership(0)?.epoch === b.ownership(0)?.epoch);
  });

  test('an append without a standby is refused at once during an outage', async () => {
    const a = await cluster.start('a');
    await waitUntil(() => a.owned(0) !== undefined);
    cluster.log.isDown = true;
    await a.append(0, { word: 'first' }, REPLICABLE);
    const result = await a.append(0, { word: 'second' }, REPLICABLE);
    expect(result.isErr && result.error.kind).toBe('log-unavailable');
    expect((await a.confirmAuthority(0, 0)).isErr).toBe(true);
  });

  test('a record whose response is lost as an outage begins is accepted once, in order', async () => {
    const { a, b } = await startPair();
    cluster.log.loseAnswers = 1;
    const first = a.append(0, { word: 'lost' }, DURABLE);
    await waitUntil(() => cluster.log.loseAnswers === 0);
    cluster.log.isDown = true;
    await first;
    await a.append(0, { word: 'held' }, REPLICABLE);
    cluster.log.isDown = false;
    await waitUntil(() => b.readCounts().bodies === 2);
    disconnect('a');
    await waitUntil(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(wordsOf(a.owned(0)?.state));
  });

  test('hands its shards over when it leaves', async () => {
    const { a, b } = await startPair();
    await a.append(0, { word: 'kept' }, DURABLE);
    cluster.members.set('a', { leaving: true });
    const before = testFixtures.systemClock.now();
    await a.handOver(2_000);
    expect(testFixtures.systemClock.now() - before).toBeLessThan(1_000);
    await waitUntil(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['kept']);
    expect(a.owned(0)).toBeUndefined();
  });

  test('a third VM and its restarted process take over when both holders are unreachable', async () => {
    const { a } = await startPair();
    await a.append(0, { word: 'kept' }, DURABLE);
    const c = await cluster.start('c');
    await waitUntil(() => c.ownership(0) !== undefined);
    disconnect('a');
    disconnect('b');
    await waitUntil(() => c.owned(0) !== undefined);
    expect(wordsOf(c.owned(0)?.state)).toEqual(['kept']);
    await c.dispose();
    const again = await cluster.start('c', {}, 'c-2');
    await waitUntil(() => again.owned(0) !== undefined);
    expect(wordsOf(again.owned(0)?.state)).toEqual(['kept']);
  });

  test('keeps the state beyond the retention of its records, and reports a gap', async () => {
    const retentionMs = 1_600;
    const a = await cluster.start('a', { retentionMs });
    await waitUntil(() => a.owned(0) !== undefined);
    await a.append(0, { word: 'kept' }, DURABLE);
    const offsetOfKept = () => a.owned(0)?.state.words[0]?.offset ?? 0;
    const firstOffset = offsetOfKept();
    await waitUntil(() => offsetOfKept() > firstOffset);
    const renewedOffset = offsetOfKept();
    await waitUntil(() => (cluster.log.streams.get('journal-0')?.length ?? 0) > renewedOffset + 1);
    cluster.log.expire('journal-0', renewedOffset);
    await a.dispose();
    const b = await cluster.start('a', { retentionMs: 60_000 }, 'a-2');
    await waitUntil(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['kept']);
    expect(b.owned(0)?.hasGap).toBe(false);
    await b.dispose();
    cluster.log.expire('journal-0', cluster.log.streams.get('journal-0')?.length ?? 0);
    const c = await cluster.start('a', {}, 'a-3');
    await waitUntil(() => c.owned(0) !== undefined);
    expect(c.owned(0)?.hasGap).toBe(true);
    expect(c.readCounts().gaps).toBe(1);
  });

  test('balances the shards and spreads the claims to all VMs', async () => {
    const options = { shardCount: 8, rebalanceIntervalMs: 50 };
    const journals: Awaited<ReturnType<typeof cluster.start>>[] = [];
    for (const name of ['a', 'b', 'c', 'd']) journals.push(await cluster.start(name, options));
    const shards = [0, 1, 2, 3, 4, 5, 6, 7];
    const counts = () =>
      journals.map((journal) => shards.filter((shard) => journal.owned(shard)).length);
    await waitUntil(() => Math.max(...counts()) <= 3 && counts().reduce((x, y) => x + y) === 8);
    const epochs = () => journals.map((journal) => shards.map((s) => journal.ownership(s)?.epoch));
    await waitUntil(() => epochs().every((row) => `${row}` === `${epochs()[0]}`));
  });

  test('an owner yields to its standby when only the owner cannot reach the log', async () => {
    const { a, b } = await startPair();
    cluster.cutFromLog.add('a');
    await waitUntil(() => !a.isLogAvailable());
    const held = await a.append(0, { word: 'held' }, REPLICABLE);
    expect(held.isOk && held.value.durability).toBe('replicated');
    await waitUntil(() => b.owned(0) !== undefined);
    expect(wordsOf(b.owned(0)?.state)).toEqual(['held']);
    expect((await a.confirmAuthority(0, 1_000)).isErr).toBe(true);
    expect((await a.append(0, { word: 'late' }, REPLICABLE)).isErr).toBe(true);
  });

  test('a standby that has started to claim no longer confirms the owner', async () => {
    const { a, b } = await startPair();
    expect((await a.confirmAuthority(0, 0)).isOk).toBe(true);
    cluster.log.loseRequests = Number.POSITIVE_INFINITY;
    const before = cluster.log.appends;
    cluster.members.set('a', { state: 'suspected' });
    await waitUntil(() => cluster.log.appends > before);
    expect(b.owned(0)).toBeUndefined();
    expect((await a.confirmAuthority(0, 0)).isErr).toBe(true);
    expect((await a.append(0, { word: 'late' }, REPLICABLE)).isErr).toBe(true);
    cluster.log.loseRequests = 0;
    await waitUntil(() => b.owned(0) !== undefined && a.owned(0) === undefined);
  });
});
