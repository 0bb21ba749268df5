import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as wireTesting from '@limpettack/wire/testing';
import * as loggedTurnStore from './LoggedTurnStore.js';
import * as heldLog from './testing/HeldLog.js';
import * as measuringLog from './testing/MeasuringLog.js';
import * as timedLog from './testing/TimedLog.js';
import type { Turn } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const KEEP_MS = 500;
const TOPIC = 'kept-turns';
const PARTITIONS = 4;

/** The limit of a record that the store on the users' platform states, in bytes. */
const RECORD_BYTES = 262_144;

/** The longest id that a caller may give a request. */
const LONGEST_ID = 128;

/** The link of the smallest VMs, 21 Mbit/s. */
const LINK_BYTES_PER_MS = 2_600;

/** The time of recovery after a loss of power, in milliseconds. */
const RECOVERY_MS = 15_000;

/** When a caller whose request was refused comes back, in milliseconds. */
const COME_BACK_MS = 300;

const stores: loggedTurnStore.LoggedTurnStore[] = [];
const networks: wire.FleetNetwork[] = [];

afterEach(async () => {
  stores.splice(0).forEach((store) => store.dispose());
  await Promise.all(networks.splice(0).map((network) => network.dispose()));
});

describe('TurnLog', () => {
  test('no record is larger than the log takes, however long the ids are', async () => {
    const log = new measuringLog.MeasuringLog();
    const store = await createStore(log, 'first');
    const ids = Array.from({ length: 20 }, (_, index) => `${index}`.padStart(LONGEST_ID, 'i'));
    await keepChain(store, ids, RECORD_BYTES);
    expect(log.largestRecord).toBeLessThanOrEqual(RECORD_BYTES);
  });

  test('a chain is found behind a slow link after the log has dropped its history', async () => {
    const log = new keyedLogTesting.MemoryKeyedLog();
    const before = await createStore(log, 'before');
    await keepMuch(before);
    const chain = Array.from({ length: 14 }, (_, index) => `8000${index.toString(16)}`);
    await keepChain(before, chain, 4_000);
    for (let partition = 0; partition < PARTITIONS; partition += 1) {
      log.compact({ topic: TOPIC, partition });
    }
    const link = new timedLog.TimedLog(new keyedLogTesting.LinkedLog(log, LINK_BYTES_PER_MS));
    const after = await createStore(link, 'after');
    const startedAt = performance.now();
    let found = 0;
    while (found === 0 && performance.now() - startedAt < RECOVERY_MS) {
      const result = await after.history(chain.at(-1)!, 'w', {});
      found = result.isOk ? result.value.contents.length : 0;
      if (found === 0) await pause(COME_BACK_MS);
    }
    expect(found).toBe(chain.length);
  });

  test('a request that came after a turn was kept does not share an older search for it', async () => {
    const log = new heldLog.HeldLog();
    const writer = await createStore(log, 'writer');
    const reader = await createStore(log, 'reader');
    const early = reader.history('t1', 'w', {});
    await log.isListed;
    expect((await writer.keep(turn('t1'), KEEP_MS)).isOk).toBe(true);
    const late = reader.history('t1', 'w', {});
    log.release();
    await early;
    expect((await late).isOk).toBe(true);
  });
});

function pause(timeMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, timeMs);
  });
}

function turn(id: string, bytes = 0): Turn {
  const content = Buffer.from(`content ${id}`.padEnd(bytes, '.'));
  return { id, workspace: 'w', content, retentionMs: 60_000 };
}

/** Keeps turns that go on from each other, each with the chain that its history gave. */
async function keepChain(
  store: loggedTurnStore.LoggedTurnStore,
  ids: readonly string[],
  bytes: number,
): Promise<void> {
  let previous: string | undefined;
  for (const id of ids) {
    const history = previous === undefined ? undefined : await store.history(previous, 'w', {});
    if (history?.isErr) throw new Error(`There should be a history, not ${history.error.kind}.`);
    const earlier = history?.value.turns;
    await store.keep({ ...turn(id, bytes), previous, earlier }, KEEP_MS);
    previous = id;
  }
}

async function keepMuch(store: loggedTurnStore.LoggedTurnStore): Promise<void> {
  const ids = Array.from({ length: 2_000 }, (_, index) => index.toString(16).padStart(5, '0'));
  const spread = ids.map((id) => [...id].reverse().join(''));
  await Promise.all(spread.map((id) => store.keep(turn(id, 20_000), 5_000)));
}

async function createStore(
  log: keyedLog.KeyedLog,
  name: string,
): Promise<loggedTurnStore.LoggedTurnStore> {
  const network = wireTesting.createTestNetwork(name);
  networks.push(network);
  await network.listen();
  const store = new loggedTurnStore.LoggedTurnStore({
    log,
    network,
    clock: new clock.SystemClock(),
    logger: new logging.PartLogger('test'),
    producer: name,
    partitionCount: PARTITIONS,
    recordBytes: RECORD_BYTES,
    cacheBytes: 20_000_000,
  });
  stores.push(store);
  return store;
}
