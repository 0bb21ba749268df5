import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as trueMyth from 'true-myth';
import * as loggedTurnStore from './LoggedTurnStore.js';
import * as messages from './messages.js';
import * as turnFixtures from './testing/turnFixtures.js';
import * as turnFleet from './testing/TurnFleet.js';

const { afterEach, describe, expect, jest, test } = jestGlobals;

const KEEP_MS = 500;

/** From the record of a turn to the end of its answer at the caller. */
const ANSWER_MS = 2_000;

/** Turns may be kept so much longer than needed: the store of a busy site would fill up. */
const REMOVED_WITHIN_MS = 15_000;

/** Steps in which a clock is moved on. */
const STEP_MS = 500;

/** The content of a turn of a long chain. */
const SIZE_BYTES = 4_000;

/** The part of a caller's three seconds that the search for a history may take. */
const IN_TIME_MS = 900;

const stores = turnFixtures.createTestStores();
const fleets: turnFleet.TurnFleet[] = [];

afterEach(async () => {
  fleets.splice(0).forEach((fleet) => fleet.dispose());
  await stores.dispose();
});

describe('LoggedTurnStore', () => {
  test('another process finds the chain in the log after all memory was lost', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await stores.create(log, 'first');
    await turnFixtures.keepChain(first, ['t1', 't2', 't3']);
    const second = await stores.create(log, 'second');
    expect(await texts(second, 't3')).toEqual(['content t1', 'content t2', 'content t3']);
  });

  test('finds turns among many others, page by page', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await stores.create(log, 'first');
    const ids = Array.from({ length: 60 }, (_, index) => `${index.toString(16)}0f`);
    await Promise.all(ids.map((id) => first.keep(turnFixtures.createTurn(id), KEEP_MS)));
    log.pageSize = 3;
    const second = await stores.create(log, 'second');
    for (const id of ids) expect(await texts(second, id)).toEqual([`content ${id}`]);
  });

  test('fetches the chain from the process that wrote it', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await stores.create(log, 'first');
    await turnFixtures.keepChain(first, ['t1', 't2', 't3']);
    const second = await stores.create(log, 'second');
    const reads = log.readCount;
    const writer = stores.networks[0]!.self.address;
    expect((await second.history('t3', 'w', { writer })).isOk).toBe(true);
    expect(log.readCount).toBe(reads);
  });

  test('a turn of another workspace is unknown', async () => {
    const store = await stores.create(new keyedLogTesting.MemoryKeyedLog(), 'first');
    await turnFixtures.keepChain(store, ['t1']);
    const result = await store.history('t1', 'another', {});
    expect(result.isErr && result.error.kind).toBe('turn-unknown');
  });

  test('says unknown only when the log has been read', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const store = await stores.create(log, 'first');
    log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const during = await store.history('t1', 'w', {});
    expect(during.isErr && during.error.kind).toBe('log-unavailable');
    log.outage = undefined;
    const after = await store.history('t1', 'w', {});
    expect(after.isErr && after.error.kind).toBe('turn-unknown');
  });

  test('does not say that a turn is kept which the log has not acknowledged', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const store = await stores.create(log, 'first');
    log.outage = keyedLog.LOG_FAILURES.LOST;
    const result = await store.keep(turnFixtures.createTurn('t1'), 50);
    expect(result.isErr && result.error.kind).toBe('log-unavailable');
  });

  test('a chain is found in time behind a slow link, however much the log holds', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const before = await stores.create(log, 'before');
    await turnFixtures.keepMuch(before);
    const chain = Array.from({ length: 14 }, (_, index) => `8000${index.toString(16)}`);
    await turnFixtures.keepChain(before, chain, SIZE_BYTES);
    const link = new keyedLogTesting.LinkedLog(log, turnFixtures.LINK_BYTES_PER_MS);
    const after = await stores.create(link, 'after');
    const startedAt = performance.now();
    expect(await texts(after, chain.at(-1)!)).toHaveLength(14);
    expect(performance.now() - startedAt).toBeLessThan(IN_TIME_MS);
  });

  test('requests that go on from the same turn share one look-up', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    await turnFixtures.keepChain(await stores.create(log, 'before'), ['t1', 't2', 't3']);
    const after = await stores.create(log, 'after');
    const reads = log.readCount;
    const found = await Promise.all(Array.from({ length: 5 }, () => texts(after, 't3')));
    found.forEach((contents) => expect(contents).toHaveLength(3));
    // One listing, then one read for each turn.
    expect(log.readCount - reads).toBe(4);
  });

  test('what a failed look-up has read is at hand for the next one', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    await turnFixtures.keepChain(await stores.create(log, 'before'), ['t1', 't2', 't3']);
    const after = await stores.create(log, 'after');
    const failure = { kind: keyedLog.LOG_FAILURES.UNAVAILABLE, message: 'The first read fails.' };
    jest.spyOn(log, 'read').mockResolvedValueOnce(trueMyth.Result.err(failure));
    expect((await after.history('t3', 'w', {})).isErr).toBe(true);
    await untilRead(log, 3);
    expect(await texts(after, 't3')).toHaveLength(3);
    // The first look-up read two turns; this one lists again and reads the third.
    expect(log.readCount).toBe(5);
  });

  test('a chain longer than its records name is found whole', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const ids = Array.from({ length: 50 }, (_, index) => `t${index}`);
    await turnFixtures.keepChain(await stores.create(log, 'before'), ids);
    const after = await stores.create(log, 'after');
    expect(await texts(after, 't49')).toEqual(ids.map((id) => `content ${id}`));
  });

  test('turns are found by their keys when the log has dropped its history', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    await turnFixtures.keepChain(await stores.create(log, 'before'), ['t1', 't2', 't3']);
    for (let partition = 0; partition < 4; partition += 1) {
      log.compact({ topic: 'kept-turns', partition });
    }
    const after = await stores.create(log, 'after');
    expect(await texts(after, 't3')).toEqual(['content t1', 'content t2', 'content t3']);
  });

  test('a content larger than a record is kept in parts', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await stores.create(log, 'first');
    const content = Buffer.alloc(40_000, 'x');
    await first.keep({ ...turnFixtures.createTurn('t1'), content }, KEEP_MS);
    const second = await stores.create(log, 'second');
    const result = await second.history('t1', 'w', {});
    expect(result.isOk && Buffer.concat(result.value.contents).equals(content)).toBe(true);
  });

  test('a turn is kept for its retention from the end of its answer, then removed', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const time = new clock.ManualClock();
    const first = await stores.create(log, 'first', { clock: time });
    await first.keep(turnFixtures.createTurn('t1'), KEEP_MS);
    await advance(time, turnFleet.RETENTION_MS + ANSWER_MS - 1);
    expect(await texts(await stores.create(log, 'second'), 't1')).toEqual(['content t1']);
    await advance(time, REMOVED_WITHIN_MS);
    expect(await texts(await stores.create(log, 'third'), 't1')).toEqual([]);
  });

  // Turns of a conversation, VMs that write them in turn, time between them, and for which each runs.
  test.each([
    [24, 2, 15_000, 0],
    [40, 3, 8_000, 0],
    [60, 5, 3_000, 0],
    [8, 3, 59_000, 0],
    [8, 3, 35_000, 30_000],
    [8, 3, 15_000, 50_000],
    [6, 2, 5_000, 90_000],
  ])('%d turns at %d VMs, one in %d ms, are kept together', async (count, vms, spanMs, runMs) => {
    const fleet = createFleet();
    const writers = Array.from({ length: vms }, (_, index) => fleet.start(`vm-${index}`));
    const ids = Array.from({ length: count }, (_, index) => `t${index}`);
    for (let index = 0; index < count; index += 1) {
      const writer = writers[index % vms]!;
      expect(await fleet.runTurn(writer, ids[index]!, ids[index - 1], runMs)).toBe(true);
      await fleet.advance(spanMs);
      fleet.dropHistory();
      expect(await fleet.find(ids[index]!)).toBe(ids.slice(0, index + 1).join(' '));
    }
    await fleet.advance(turnFleet.RETENTION_MS - spanMs);
    fleet.dropHistory();
    expect(await fleet.find(ids.at(-1)!)).toBe(ids.join(' '));
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a short conversation costs no message while it is young, and is kept as long', async () => {
    const fleet = createFleet();
    const writers = ['a', 'b', 'c'].map((name) => fleet.start(name));
    await fleet.runTurn(writers[0]!, 't1');
    await fleet.advance(8_000);
    await fleet.runTurn(writers[1]!, 't2', 't1');
    await fleet.advance(8_000);
    await fleet.runTurn(writers[2]!, 't3', 't2');
    expect(fleet.peers.sent).toEqual([]);
    await fleet.advance(turnFleet.RETENTION_MS);
    fleet.dropHistory();
    expect(await fleet.find('t3')).toBe('t1 t2 t3');
    // Later one message from each VM to each that wrote a turn before its own.
    expect(fleet.peers.sent).toHaveLength(3);
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a process answers over the network which turns it keeps on', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    await turnFixtures.keepChain(await stores.create(log, 'first'), ['t1']);
    await stores.create(log, 'second');
    const [first, second] = stores.networks;
    const turns = ['t1', 't2'].map((id) => ({ turn: id, spanMs: 1 }));
    const options = { timeoutMs: KEEP_MS };
    const { address } = first!.self;
    const answer = await second!.request(address, messages.KEEP_ON, { turns }, options);
    expect(answer.isOk && answer.value).toEqual({ count: 1 });
  });
});

function createFleet(): turnFleet.TurnFleet {
  const fleet = new turnFleet.TurnFleet();
  fleets.push(fleet);
  return fleet;
}

/** Moves the clock on in steps and lets what is due in each run to its end. */
async function advance(time: clock.ManualClock, spanMs: clock.Milliseconds): Promise<void> {
  for (let left = spanMs; left > 0; left -= STEP_MS) {
    time.advance(Math.min(left, STEP_MS));
    await settled();
  }
}

/** Lets all run that waits neither for the clock nor for the network. */
function settled(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function untilRead(log: keyedLogTesting.MemoryKeyedLog, count: number): Promise<void> {
  while (log.readCount < count) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

async function texts(
  store: loggedTurnStore.LoggedTurnStore,
  id: string,
): Promise<readonly string[]> {
  const result = await store.history(id, 'w', {});
  return result.isOk ? result.value.contents.map((content) => Buffer.from(content).toString()) : [];
}
