import * as jestGlobals from '@jest/globals';
import type { LogResult, PartitionName, StoredRecord } from '../Types.js';
import * as memoryKeyedLog from './MemoryKeyedLog.js';

const { describe, expect, test } = jestGlobals;

const PARTITION: PartitionName = { topic: 'test', partition: 0 };
const KILOBYTE = 1_024;

describe('MemoryKeyedLog', () => {
  test('a listing ends at 500 records and continues after the last one', async () => {
    const log = await createLog(620, 10);
    const first = value(await log.newest(PARTITION));
    expect([first.records.length, first.hasMore, first.endOffset]).toEqual([500, true, 620]);
    const second = value(await log.newest(PARTITION, first.records.at(-1)!.key));
    expect([second.records.length, second.hasMore]).toEqual([120, false]);
  });

  test('a listing ends at 1 MB', async () => {
    const log = await createLog(30, 100 * KILOBYTE);
    const first = value(await log.newest(PARTITION));
    expect([first.records.length, first.hasMore]).toEqual([10, true]);
  });

  test('a listing contains the newest record of each key, but no removed keys', async () => {
    const log = await createLog(3, 10);
    await append(log, [{ key: 'key-0001', value: Buffer.from('new') }, { key: 'key-0002' }]);
    const { records } = value(await log.newest(PARTITION));
    expect(records.map(({ key, offset }) => [key, offset])).toEqual([
      ['key-0000', 0],
      ['key-0001', 3],
    ]);
  });

  test('a read ends at the requested size', async () => {
    const log = await createLog(20, 2 * KILOBYTE);
    const page = value(await log.read(PARTITION, 5, { maximumBytes: 7 * KILOBYTE }));
    expect(offsets(page)).toEqual([5, 6, 7]);
    expect(page.endOffset).toBe(20);
  });

  test('the first record of a read is returned even if it exceeds the size', async () => {
    const log = await createLog(20, 20 * KILOBYTE);
    expect(offsets(value(await log.read(PARTITION, 5, { maximumBytes: KILOBYTE })))).toEqual([5]);
  });

  test('a read without a size ends at 1 MB', async () => {
    const log = await createLog(30, 100 * KILOBYTE);
    expect(value(await log.read(PARTITION, 0)).records).toHaveLength(10);
  });
});

async function createLog(count: number, bytes: number): Promise<memoryKeyedLog.MemoryKeyedLog> {
  const log = new memoryKeyedLog.MemoryKeyedLog();
  const records = Array.from({ length: count }, (_, index) => ({
    key: `key-${String(index).padStart(4, '0')}`,
    value: Buffer.alloc(bytes, 'x'),
  }));
  await append(log, records);
  return log;
}

async function append(
  log: memoryKeyedLog.MemoryKeyedLog,
  records: Parameters<typeof log.append>[1],
): Promise<void> {
  const identity = { producer: 'test', sequence: log.appendCount };
  await log.append(PARTITION, records, { identity });
}

function value<Value>(result: LogResult<Value>): Value {
  if (result.isErr) throw new Error(result.error.message);
  return result.value;
}

function offsets({ records }: { readonly records: readonly StoredRecord[] }): number[] {
  return records.map(({ offset }) => offset);
}
