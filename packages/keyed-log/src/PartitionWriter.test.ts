import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as fastCheck from 'fast-check';
import * as logFailures from './LogFailures.js';
import * as partitionWriter from './PartitionWriter.js';
import * as readAllNewestRecords from './readAllNewestRecords.js';
import * as memoryKeyedLog from './testing/MemoryKeyedLog.js';
import type { LogFailureKind, PartitionName } from './Types.js';

const { describe, expect, test } = jestGlobals;

const PARTITION: PartitionName = { topic: 'test', partition: 0 };
const { FULL, LOST, UNAVAILABLE } = logFailures.LOG_FAILURES;
const WAIT_MS = 500;

/** More than the time between two attempts while the log is full. */
const FULL_MS = 800;
const value = Buffer.from('value');

describe('PartitionWriter', () => {
  test('records that arrive during an append are batched into the next one', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const writer = createWriter(log);
    await Promise.all(['a', 'b', 'c', 'd'].map((key) => writer.append({ key, value }, WAIT_MS)));
    expect(log.appendCount).toBe(2);
  });

  test('records appended together get consecutive offsets, which the receipt returns', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const writer = createWriter(log);
    const pairs = ['a', 'b', 'c'].map((key) => [
      { key, value },
      { key: `${key}/marker`, value },
    ]);
    const receipts = await Promise.all(pairs.map((pair) => writer.appendTogether(pair, WAIT_MS)));
    const page = await log.read(PARTITION, 0);
    const keys = page.isOk ? page.value.records.map(({ key }) => key) : [];
    receipts.forEach((receipt, index) => {
      const [first, behind] = pairs[index]!;
      const offset = receipt.isOk ? receipt.value.firstOffset : -1;
      expect([keys[offset], keys[offset + 1]]).toEqual([first!.key, behind!.key]);
    });
    expect(log.appendCount).toBe(2);
  });

  test('an append whose response was lost takes effect once', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const writer = createWriter(log);
    log.losesAnswers = true;
    const first = writer.append({ key: 'a', value }, WAIT_MS);
    setTimeout(() => {
      log.losesAnswers = false;
    }, 20);
    const receipt = await first;
    expect(receipt.isOk && receipt.value.endOffset).toBe(1);
  });

  test('fails at the time limit, and later records are still written', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const writer = createWriter(log);
    log.outage = UNAVAILABLE;
    expect((await writer.append({ key: 'a', value }, 30)).isErr).toBe(true);
    log.outage = undefined;
    expect((await writer.append({ key: 'b', value }, WAIT_MS)).isOk).toBe(true);
  });

  // Guards against records that fail at once because the log is full, although their callers wait and
  // there is room a moment later.
  test('records wait for room in a full log as long as their callers do', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const writer = createWriter(log);
    log.outage = FULL;
    const waiting = writer.append({ key: 'a', value }, 2 * FULL_MS);
    expect((await writer.append({ key: 'b', value }, 30)).isErr).toBe(true);
    log.outage = undefined;
    expect((await waiting).isOk).toBe(true);
    expect((await writer.append({ key: 'c', value }, WAIT_MS)).isOk).toBe(true);
    const state = await readAllNewestRecords.readAllNewestRecords(log, PARTITION);
    expect(state.isOk && state.value.records.map(({ key }) => key)).toEqual(['a', 'c']);
  });

  // Guards against an outage in which records wait behind a batch long after their callers have left.
  test('records that wait for an append end at their own time limit', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const writer = createWriter(log);
    log.outage = UNAVAILABLE;
    const first = writer.append({ key: 'a', value }, WAIT_MS);
    const startedAt = performance.now();
    expect((await writer.append({ key: 'b', value }, 30)).isErr).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(WAIT_MS / 2);
    log.outage = undefined;
    expect((await first).isOk).toBe(true);
    expect((await log.newest(PARTITION)).isOk && log.appendCount).toBeGreaterThan(0);
  });

  // One exception ended all further appends of the partition, whose callers then waited without end.
  test('continues after an append that threw, which it repeats', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const writer = createWriter(log);
    const { append } = log;
    log.append = async (...call) => {
      log.append = append;
      await log.append(...call);
      throw new RangeError('The response is malformed.');
    };
    const receipts = await Promise.all([
      writer.append({ key: 'a', value }, WAIT_MS),
      writer.append({ key: 'b', value }, WAIT_MS),
    ]);
    expect(receipts.map((receipt) => receipt.isOk && receipt.value.endOffset)).toEqual([1, 2]);
  });

  test('a record that cannot be appended fails at its time limit and later ones are written', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const writer = createWriter(log);
    const failing = writer.append({ key: 'k'.repeat(256), value }, 30);
    const following = writer.append({ key: 'b', value }, WAIT_MS);
    expect((await failing).isErr).toBe(true);
    expect((await following).isOk).toBe(true);
  });

  test('every acknowledged record is stored, whatever responses are lost or calls are refused', async () => {
    const failure = fastCheck.constantFrom<LogFailureKind>(LOST, UNAVAILABLE);
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(failure, { maxLength: 6 }),
        fastCheck.integer({ min: 1, max: 12 }),
        async (failures, count) => {
          const log = new memoryKeyedLog.MemoryKeyedLog();
          log.failures.push(...failures);
          const writer = createWriter(log);
          const keys = Array.from({ length: count }, (_, index) => `key-${index}`);
          const results = await Promise.all(
            keys.map((key) => writer.append({ key, value }, WAIT_MS)),
          );
          const state = await readAllNewestRecords.readAllNewestRecords(log, PARTITION);
          const kept = state.isOk ? state.value.records.map(({ key }) => key) : [];
          const acknowledged = keys.filter((_, index) => results[index]?.isOk);
          expect(kept).toEqual(expect.arrayContaining(acknowledged));
          expect(state.isOk && state.value.endOffset).toBe(kept.length);
        },
      ),
      { seed: 7, numRuns: 60 },
    );
  });
});

function createWriter(log: memoryKeyedLog.MemoryKeyedLog): partitionWriter.PartitionWriter {
  return new partitionWriter.PartitionWriter({
    log,
    partition: PARTITION,
    clock: new clock.SystemClock(),
    logger: new logging.PartLogger('test'),
    producer: 'writer',
    retryMs: 2,
  });
}
