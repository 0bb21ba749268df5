import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as wireTesting from '@limpettack/wire/testing';
import * as loggedTurnStore from './LoggedTurnStore.js';
import type { Turn } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const KEEP_MS = 500;
const stores: loggedTurnStore.LoggedTurnStore[] = [];
const networks: wire.FleetNetwork[] = [];

afterEach(async () => {
  stores.splice(0).forEach((store) => store.dispose());
  await Promise.all(networks.splice(0).map((network) => network.dispose()));
});

describe('LoggedTurnStore', () => {
  test('another process finds the chain in the log after all memory was lost', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await createStore(log, 'first');
    await keepChain(first, ['t1', 't2', 't3']);
    const second = await createStore(log, 'second');
    expect(await texts(second, 't3')).toEqual(['content t1', 'content t2', 'content t3']);
  });

  test('finds turns among many others, page by page', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await createStore(log, 'first');
    const ids = Array.from({ length: 60 }, (_, index) => `${index.toString(16)}0f`);
    await Promise.all(ids.map((id) => first.keep(turn(id), KEEP_MS)));
    log.pageSize = 3;
    const second = await createStore(log, 'second');
    for (const id of ids) expect(await texts(second, id)).toEqual([`content ${id}`]);
  });

  test('fetches the chain from the process that wrote it', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await createStore(log, 'first');
    await keepChain(first, ['t1', 't2', 't3']);
    const second = await createStore(log, 'second');
    const reads = log.readCount;
    const writer = networks[0]!.self.address;
    expect((await second.history('t3', 'w', { writer })).isOk).toBe(true);
    expect(log.readCount).toBe(reads);
  });

  test('a turn of another workspace is unknown', async () => {
    const store = await createStore(new keyedLogTesting.MemoryKeyedLog(), 'first');
    await keepChain(store, ['t1']);
    const result = await store.history('t1', 'another', {});
    expect(result.isErr && result.error.kind).toBe('turn-unknown');
  });

  test('says unknown only when the log has been read', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const store = await createStore(log, 'first');
    log.outage = keyedLog.LOG_FAILURES.UNAVAILABLE;
    const during = await store.history('t1', 'w', {});
    expect(during.isErr && during.error.kind).toBe('log-unavailable');
    log.outage = undefined;
    const after = await store.history('t1', 'w', {});
    expect(after.isErr && after.error.kind).toBe('turn-unknown');
  });

  test('does not say that a turn is kept which the log has not acknowledged', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const store = await createStore(log, 'first');
    log.outage = keyedLog.LOG_FAILURES.LOST;
    const result = await store.keep(turn('t1'), 50);
    expect(result.isErr && result.error.kind).toBe('log-unavailable');
  });

  test('a content larger than a record is kept in parts', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const first = await createStore(log, 'first');
    const content = Buffer.alloc(10_000, 'x');
    await first.keep({ ...turn('t1'), content }, KEEP_MS);
    const second = await createStore(log, 'second');
    const result = await second.history('t1', 'w', {});
    expect(result.isOk && Buffer.concat(result.value).equals(content)).toBe(true);
  });
});

function turn(id: string, previous?: string): Turn {
  const content = Buffer.from(`content ${id}`);
  return { id, previous, workspace: 'w', content, retentionMs: 60_000 };
}

async function keepChain(
  store: loggedTurnStore.LoggedTurnStore,
  ids: readonly string[],
): Promise<void> {
  for (let index = 0; index < ids.length; index += 1) {
    await store.keep(turn(ids[index]!, ids[index - 1]), KEEP_MS);
  }
}

async function texts(
  store: loggedTurnStore.LoggedTurnStore,
  id: string,
): Promise<readonly string[]> {
  const result = await store.history(id, 'w', {});
  return result.isOk ? result.value.map((content) => Buffer.from(content).toString()) : [];
}

async function createStore(
  log: keyedLog.KeyedLog,
  name: string,
): Promise<loggedTurnStore.LoggedTurnStore> {
  const time = new clock.SystemClock();
  const logger = new logging.PartLogger('test');
  const network = wireTesting.createTestNetwork(name);
  networks.push(network);
  await network.listen();
  const store = new loggedTurnStore.LoggedTurnStore({
    log,
    network,
    clock: time,
    logger,
    producer: name,
    partitionCount: 4,
    recordBytes: 4_096,
    cacheBytes: 1_000_000,
  });
  stores.push(store);
  return store;
}
