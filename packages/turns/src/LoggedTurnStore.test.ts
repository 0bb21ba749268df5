import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as trueMyth from 'true-myth';
import * as loggedTurnStore from './LoggedTurnStore.js';
import * as messages from './messages.js';
import * as turnMemory from './TurnMemory.js';
import * as turnFixtures from './testing/turnFixtures.js';
import * as turnFleet from './testing/TurnFleet.js';

const { afterEach, describe, expect, jest, test } = jestGlobals;

const STORE_TIMEOUT_MS = 500;

/** Time from the record of a turn to the end of its response at the caller. */
const RESPONSE_DURATION_MS = 2_000;

/**
 * Maximum time until an expired turn is removed. Otherwise, the store of a busy deployment would
 * fill up.
 */
const REMOVED_WITHIN_MS = 15_000;

/** Steps in which a test advances its clock. */
const STEP_MS = 500;

/** The size of the content of each turn in a long chain. */
const CONTENT_BYTES = 4_000;

/** Maximum time for the lookup of a history, out of a caller's three seconds. */
const MAXIMUM_LOOKUP_MS = 900;

const stores = turnFixtures.createTestStores();
const fleets: turnFleet.TurnFleet[] = [];

afterEach(async () => {
  fleets.splice(0).forEach((fleet) => fleet.dispose());
  await stores.dispose();
});

describe('LoggedTurnStore', () => {
  test('another process reads a chain from the log without the cache of the process that wrote it', async () => {
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
    await Promise.all(ids.map((id) => first.keep(turnFixtures.createTurn(id), STORE_TIMEOUT_MS)));
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

  // Guards against cached turns that each keep a whole message in memory, which contains the turns
  // of other chains too.
  test('turns from a peer keep only their own contents in memory', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await stores.create(log, 'first');
    const ids = Array.from({ length: 20 }, (_, index) => `t${index}`);
    await turnFixtures.keepChain(first, ids, 16_000);
    const second = await stores.create(log, 'second');
    const hints = { writer: stores.networks[0]!.self.address };
    const history = await second.history('t19', 'w', hints);
    const contents = history.isOk ? history.value.contents : [];
    expect(contents).toHaveLength(20);
    contents.forEach(({ buffer }) => expect(buffer.byteLength).toBeLessThanOrEqual(32_000));
  });

  // Guards against messages of a whole conversation: those of 32 MB end the link to the peer, and
  // all that waits for them is held in memory.
  test('a peer sends a part of a large chain, and the rest is read from the log', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const sizes = { recordBytes: 262_144, cacheBytes: 100_000_000 };
    const first = await stores.create(log, 'first', sizes);
    const ids = Array.from({ length: 40 }, (_, index) => `t${index}`);
    await turnFixtures.keepChain(first, ids, 100_000);
    const [network] = stores.networks;
    const second = await stores.create(log, 'second', sizes);
    const { address } = network!.self;
    const request = { turn: 't39', held: [] };
    const options = { timeoutMs: 5_000 };
    const { FETCH_TURNS } = messages;
    const fetched = await stores.networks[1]!.request(address, FETCH_TURNS, request, options);
    expect(fetched.isOk && fetched.value.turns.length).toBe(10);
    const history = await second.history('t39', 'w', { writer: address });
    expect(history.isOk && history.value.contents.length).toBe(40);
  });

  // Guards against many lookups that are each within all limits, and together fill the memory of
  // the process while the log is slow.
  test('lookups of long chains share a bounded memory, and those without room are refused as not run', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const writer = await stores.create(log, 'writer');
    const chains = Array.from({ length: 12 }, (_, chain) =>
      Array.from({ length: 10 }, (_unused, index) => `t${chain}-${index}`),
    );
    for (const chain of chains) await turnFixtures.keepChain(writer, chain, 10_000);
    const memory = new turnMemory.TurnMemory(500_000);
    const reader = await stores.create(log, 'reader', { memory, cacheBytes: 20_000 });
    const findings = await Promise.all(chains.map((chain) => reader.history(chain[9]!, 'w', {})));
    const refused = findings.filter(({ isErr }) => isErr);
    expect(refused.length).toBeGreaterThanOrEqual(7);
    expect(refused.length).toBeLessThan(12);
    findings.forEach((finding) => {
      if (finding.isErr)
        expect(finding.error).toMatchObject({ kind: 'overloaded', run: 'not-run' });
    });
    await waitForRelease(memory);
    const later = await reader.history(chains[0]![9]!, 'w', {});
    expect(later.isOk && later.value.contents.length).toBe(10);
  });

  test('reads turns again after the cached ones were dropped', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const store = await stores.create(log, 'first');
    await turnFixtures.keepChain(store, ['t1', 't2']);
    const reads = log.readCount;
    await texts(store, 't2');
    expect(log.readCount).toBe(reads);
    store.dropCached();
    expect(await texts(store, 't2')).toEqual(['content t1', 'content t2']);
    expect(log.readCount).toBeGreaterThan(reads);
  });

  test('a turn of another workspace is unknown', async () => {
    const store = await stores.create(new keyedLogTesting.MemoryKeyedLog(), 'first');
    await turnFixtures.keepChain(store, ['t1']);
    const result = await store.history('t1', 'another', {});
    expect(result.isErr && result.error.kind).toBe('turn-unknown');
  });

  test('reports a turn as unknown only when the log could be read', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const store = await stores.create(log, 'first');
    log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const during = await store.history('t1', 'w', {});
    expect(during.isErr && during.error.kind).toBe('log-unavailable');
    log.outage = undefined;
    const after = await store.history('t1', 'w', {});
    expect(after.isErr && after.error.kind).toBe('turn-unknown');
  });

  test('does not report a turn as stored that the log has not acknowledged', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const store = await stores.create(log, 'first');
    log.outage = keyedLog.LOG_FAILURES.LOST;
    const result = await store.keep(turnFixtures.createTurn('t1'), 50);
    expect(result.isErr && result.error.kind).toBe('log-unavailable');
  });

  test('finds a chain in time over a slow link, however much the log holds', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const before = await stores.create(log, 'before');
    await turnFixtures.keepOtherTurns(before);
    const chain = Array.from({ length: 14 }, (_, index) => `8000${index.toString(16)}`);
    await turnFixtures.keepChain(before, chain, CONTENT_BYTES);
    const link = new keyedLogTesting.BandwidthLimitedLog(log, turnFixtures.LINK_BYTES_PER_MS);
    const after = await stores.create(link, 'after');
    const startedAt = performance.now();
    expect(await texts(after, chain.at(-1)!)).toHaveLength(14);
    expect(performance.now() - startedAt).toBeLessThan(MAXIMUM_LOOKUP_MS);
  });

  test('requests that continue the same turn share one lookup', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    await turnFixtures.keepChain(await stores.create(log, 'before'), ['t1', 't2', 't3']);
    const after = await stores.create(log, 'after');
    const reads = log.readCount;
    const found = await Promise.all(Array.from({ length: 5 }, () => texts(after, 't3')));
    found.forEach((contents) => expect(contents).toHaveLength(3));
    // One listing and one read for each turn.
    expect(log.readCount - reads).toBe(4);
  });

  test('turns that a failed lookup has read are cached for the next one', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    await turnFixtures.keepChain(await stores.create(log, 'before'), ['t1', 't2', 't3']);
    const after = await stores.create(log, 'after');
    const failure = { kind: keyedLog.LOG_FAILURES.UNAVAILABLE, message: 'The first read fails.' };
    jest.spyOn(log, 'read').mockResolvedValueOnce(trueMyth.Result.err(failure));
    expect((await after.history('t3', 'w', {})).isErr).toBe(true);
    await waitForReads(log, 3);
    expect(await texts(after, 't3')).toHaveLength(3);
    // The first lookup read two turns. This one lists the markers again and reads the third turn.
    expect(log.readCount).toBe(5);
  });

  test('finds a complete chain that is longer than the positions in one record', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const ids = Array.from({ length: 50 }, (_, index) => `t${index}`);
    await turnFixtures.keepChain(await stores.create(log, 'before'), ids);
    const after = await stores.create(log, 'after');
    expect(await texts(after, 't49')).toEqual(ids.map((id) => `content ${id}`));
  });

  test('finds turns by their keys when the log has dropped its history', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    await turnFixtures.keepChain(await stores.create(log, 'before'), ['t1', 't2', 't3']);
    for (let partition = 0; partition < 4; partition += 1) {
      log.compact({ topic: 'kept-turns', partition });
    }
    const after = await stores.create(log, 'after');
    expect(await texts(after, 't3')).toEqual(['content t1', 'content t2', 'content t3']);
  });

  test('stores a content larger than a record in parts', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await stores.create(log, 'first');
    const content = Buffer.alloc(40_000, 'x');
    await first.keep({ ...turnFixtures.createTurn('t1'), content }, STORE_TIMEOUT_MS);
    const second = await stores.create(log, 'second');
    const result = await second.history('t1', 'w', {});
    expect(result.isOk && Buffer.concat(result.value.contents).equals(content)).toBe(true);
  });

  test('a turn is retained from the end of its response, then removed', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const time = new clock.ManualClock();
    const first = await stores.create(log, 'first', { clock: time });
    await first.keep(turnFixtures.createTurn('t1'), STORE_TIMEOUT_MS);
    await advance(time, turnFleet.RETENTION_MS + RESPONSE_DURATION_MS - 1);
    expect(await texts(await stores.create(log, 'second'), 't1')).toEqual(['content t1']);
    await advance(time, REMOVED_WITHIN_MS);
    expect(await texts(await stores.create(log, 'third'), 't1')).toEqual([]);
  });

  // Columns: turns of a conversation, VMs that write them alternately, time between turns in
  // milliseconds, run time of each turn in milliseconds.
  test.each([
    [24, 2, 15_000, 0],
    [40, 3, 8_000, 0],
    [60, 5, 3_000, 0],
    [8, 3, 59_000, 0],
    [8, 3, 35_000, 30_000],
    [8, 3, 15_000, 50_000],
    [6, 2, 5_000, 90_000],
  ])(
    'a chain of %d turns at %d VMs, one in %d ms, is retained as a whole',
    async (count, vms, spanMs, runMs) => {
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
    },
  );

  test('a short conversation costs no message while it is young, and is retained as long', async () => {
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
    // Later, each VM sends one message to each VM that wrote an earlier turn.
    expect(fleet.peers.sent).toHaveLength(3);
    await fleet.advance(REMOVED_WITHIN_MS);
    expect(await fleet.recordCount()).toBe(0);
  });

  test('a process reports over the network how many turns it has extended', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    await turnFixtures.keepChain(await stores.create(log, 'first'), ['t1']);
    await stores.create(log, 'second');
    const [first, second] = stores.networks;
    const turns = ['t1', 't2'].map((id) => ({ turn: id, spanMs: 1 }));
    const options = { timeoutMs: STORE_TIMEOUT_MS };
    const { address } = first!.self;
    const response = await second!.request(address, messages.EXTEND_RETENTION, { turns }, options);
    expect(response.isOk && response.value).toEqual({ count: 1 });
  });
});

function createFleet(): turnFleet.TurnFleet {
  const fleet = new turnFleet.TurnFleet();
  fleets.push(fleet);
  return fleet;
}

/** Advances the clock in steps and runs the work that is due after each. */
async function advance(time: clock.ManualClock, spanMs: clock.Milliseconds): Promise<void> {
  for (let left = spanMs; left > 0; left -= STEP_MS) {
    time.advance(Math.min(left, STEP_MS));
    await runPendingWork();
  }
}

/** Runs all pending work that waits neither for the clock nor for the network. */
function runPendingWork(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function waitForReads(log: keyedLogTesting.MemoryKeyedLog, count: number): Promise<void> {
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

/** Waits until lookups hold no memory. There is no timeout. */
async function waitForRelease(memory: turnMemory.TurnMemory): Promise<void> {
  while (memory.usedBytes > 0) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
