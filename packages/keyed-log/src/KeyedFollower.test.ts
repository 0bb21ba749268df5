import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import * as keyedFollower from './KeyedFollower.js';
import * as logFailures from './LogFailures.js';
import * as logSource from './LogSource.js';
import * as memoryKeyedLog from './testing/MemoryKeyedLog.js';
import type { KeyedRecord, PartitionName } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const PARTITION: PartitionName = { topic: 'test', partition: 0 };

/** A value for which the handler of the tests throws. */
const POISON = 'poison';

const followers: keyedFollower.KeyedFollower[] = [];

afterEach(async () => {
  await Promise.all(followers.splice(0).map((follower) => follower.dispose()));
});

describe('KeyedFollower', () => {
  test('delivers the newest record of each key, then each new record', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    await append(log, [record('a', '1'), record('a', '2'), record('b', '1')]);
    const seen = follow(log);
    await until(() => seen.resets === 1);
    expect(seen.values).toEqual({ a: '2', b: '1' });
    await append(log, [record('b', '2'), { key: 'a' }]);
    await until(() => seen.values.b === '2');
    expect(seen.values).toEqual({ b: '2' });
    expect(seen.resets).toBe(1);
  });

  test('restarts from the newest records when the history was discarded', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    await append(log, [record('a', '1')]);
    const seen = follow(log);
    await until(() => seen.resets === 1);
    log.outage = logFailures.LOG_FAILURES.UNAVAILABLE;
    await until(() => seen.follower.unreachableSince !== undefined);
    log.outage = undefined;
    await append(log, [record('a', '2'), record('a', '3')]);
    log.compact(PARTITION);
    await until(() => seen.values.a === '3');
    expect(seen.follower.unreachableSince).toBeUndefined();
    expect(seen.follower.reachableAgainAt).toBeDefined();
  });

  // The first records after an outage were delivered as if it went on. A target whose removal was
  // among them stayed in use for as long as the process lived.
  test.each([
    ['the next records', false],
    ['a new list', true],
  ])('%s after an outage are delivered after the outage has ended', async (_name, isCompacted) => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    await append(log, [record('a', '1')]);
    const seen = follow(log);
    await until(() => seen.resets === 1);
    log.outage = logFailures.LOG_FAILURES.UNAVAILABLE;
    await until(() => seen.follower.unreachableSince !== undefined);
    seen.wereUnreachable.length = 0;
    log.outage = undefined;
    await append(log, [{ key: 'a' }]);
    if (isCompacted) log.compact(PARTITION);
    await until(() => seen.values.a === undefined);
    expect(seen.wereUnreachable).toEqual([false]);
    expect(seen.follower.reachableAgainAt).toBeDefined();
  });

  // One record for which the handler threw ended the follower. The process no longer learned which
  // targets came and went, and a new process never became ready.
  describe('a record that the handler cannot take is skipped', () => {
    test('among changes', async () => {
      const log = new memoryKeyedLog.MemoryKeyedLog();
      const seen = follow(log);
      await until(() => seen.resets === 1);
      await append(log, [record('a', '1'), record('odd', POISON), record('b', '1')]);
      await until(() => seen.values.b === '1');
      await append(log, [record('a', '2')]);
      await until(() => seen.values.a === '2');
      expect(seen.values).toEqual({ a: '2', b: '1' });
      expect(seen.poisonCount).toBe(1);
      expect(seen.errors.map(({ offset }) => offset)).toEqual([1]);
    });

    test('in a listing', async () => {
      const log = new memoryKeyedLog.MemoryKeyedLog();
      await append(log, [record('a', '1'), record('odd', POISON), record('b', '1')]);
      const seen = follow(log);
      await until(() => seen.values.b === '1' && seen.resets === 2);
      await append(log, [record('a', '2')]);
      await until(() => seen.values.a === '2');
      expect(seen.values).toEqual({ a: '2', b: '1' });
      expect(seen.resets).toBe(2);
      expect(seen.poisonCount).toBe(2);
    });
  });

  test('a source that throws is read again after a pause', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const seen = follow(log);
    let failures = 0;
    await until(() => seen.resets === 1);
    log.read = async () => {
      failures += 1;
      log.read = memoryKeyedLog.MemoryKeyedLog.prototype.read.bind(log);
      throw new RangeError('stack');
    };
    await until(() => failures === 1);
    await append(log, [record('a', '1')]);
    await until(() => seen.values.a === '1');
    expect(seen.errors).toHaveLength(1);
  });
});

function follow(log: memoryKeyedLog.MemoryKeyedLog): {
  readonly values: Record<string, string>;
  /** For each delivery, whether the log was said to be unreachable. */
  readonly wereUnreachable: boolean[];
  /** Fields of the logged errors. */
  readonly errors: logging.LogFields[];
  resets: number;
  /** How often the handler was given a record that it cannot take. */
  poisonCount: number;
  follower: keyedFollower.KeyedFollower;
} {
  const seen = {
    values: {} as Record<string, string>,
    wereUnreachable: [] as boolean[],
    errors: [] as logging.LogFields[],
    resets: 0,
    poisonCount: 0,
  };
  const take = ({ key, value }: KeyedRecord): void => {
    if (value?.toString() === POISON) {
      seen.poisonCount += 1;
      throw new RangeError('Maximum call stack size exceeded');
    }
    if (value === undefined) delete seen.values[key];
    else seen.values[key] = Buffer.from(value).toString();
  };
  const holder: { follower?: keyedFollower.KeyedFollower } = {};
  const noteDelivery = (): void => {
    seen.wereUnreachable.push(holder.follower?.unreachableSince !== undefined);
  };
  const follower = new keyedFollower.KeyedFollower({
    source: new logSource.LogSource(log, PARTITION),
    handler: {
      onReset: (records) => {
        noteDelivery();
        seen.resets += 1;
        Object.keys(seen.values).forEach((key) => delete seen.values[key]);
        records.forEach(take);
      },
      onRecord: (change) => {
        noteDelivery();
        take(change);
      },
      onCaughtUp: () => undefined,
    },
    clock: new clock.SystemClock(),
    logger: Object.assign(new logging.PartLogger('test'), {
      error: (_message: string, fields: logging.LogFields = {}) => seen.errors.push(fields),
    }),
    waitMs: 10,
    minimumIntervalMs: 10,
    retryMs: 10,
  });
  holder.follower = follower;
  followers.push(follower);
  follower.start();
  return Object.assign(seen, { follower });
}

function record(key: string, value: string): KeyedRecord {
  return { key, value: Buffer.from(value) };
}

let sequence = 0;

async function append(
  log: memoryKeyedLog.MemoryKeyedLog,
  records: readonly KeyedRecord[],
): Promise<void> {
  sequence += 1;
  await log.append(PARTITION, records, { identity: { producer: 'test', sequence } });
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
