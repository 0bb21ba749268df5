import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as wireTesting from '@limpettack/wire/testing';
import * as logFailures from './LogFailures.js';
import * as relayedLog from './RelayedLog.js';
import * as memoryKeyedLog from './testing/MemoryKeyedLog.js';
import type { AppendOptions, KeyedLog, PartitionName } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const PARTITION: PartitionName = { topic: 'test', partition: 0 };
const { UNAVAILABLE } = logFailures.LOG_FAILURES;
const RECORD = { key: 'a', value: Buffer.from('1') };
const networks: wire.FleetNetwork[] = [];

afterEach(async () => {
  await Promise.all(networks.splice(0).map((network) => network.dispose()));
});

describe('RelayedLog', () => {
  test('a process that the log rejects reads and writes through a peer', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const [cutOff] = await createLogs([unreachable(), log]);
    const appended = await cutOff!.append(PARTITION, [RECORD], options(0));
    expect(appended.isOk && appended.value.endOffset).toBe(1);
    const page = await cutOff!.read(PARTITION, 0, { waitMs: 0 });
    expect(page.isOk && Buffer.from(page.value.records[0]!.value!).toString()).toBe('1');
    expect(cutOff!.isCutOff).toBe(true);
  });

  test('a read through a peer returns no more than the requested size', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    await log.append(PARTITION, [RECORD, RECORD, RECORD], options(0));
    const [cutOff] = await createLogs([unreachable(), log]);
    const page = await cutOff!.read(PARTITION, 1, { waitMs: 0, maximumBytes: 1 });
    expect(page.isOk && page.value.records.map(({ offset }) => offset)).toEqual([1]);
  });

  test('a conflict in a relayed call is returned as a conflict', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const [cutOff] = await createLogs([unreachable(), log]);
    const result = await cutOff!.append(PARTITION, [RECORD], { ...options(0), expectedEnd: 5 });
    expect(result.isErr && result.error.kind).toBe(logFailures.LOG_FAILURES.CONFLICT);
  });

  test('fails when no process reaches the log, and calls it directly again soon after the outage', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    log.outage = UNAVAILABLE;
    const [first] = await createLogs([log, unreachable()]);
    expect((await first!.newest(PARTITION)).isErr).toBe(true);
    log.outage = undefined;
    const endedAt = Date.now();
    while ((await first!.newest(PARTITION)).isErr) await pause(5);
    expect(Date.now() - endedAt).toBeLessThan(300);
    expect(first!.isCutOff).toBe(false);
  });

  test('calls an unreachable log at a bounded rate, however often callers retry', async () => {
    const logs = [unreachable(), unreachable(), unreachable()];
    const [first] = await createLogs(logs);
    const startedAt = Date.now();
    while (Date.now() - startedAt < 900) {
      await Promise.all([0, 1, 2, 3].map(() => first!.newest(PARTITION)));
      await pause(10);
    }
    // Four concurrent calls detect the outage, each also through two relays. Then the log is called
    // directly five times a second, and through relays at most once a second.
    const calls = logs.reduce((sum, { readCount }) => sum + readCount, 0);
    expect(calls).toBeLessThanOrEqual(4 * 3 + 4 * 5);
  });
});

function pause(durationMs: number): Promise<void> {
  return new clock.SystemClock().sleep(durationMs);
}

function options(sequence: number): AppendOptions {
  return { identity: { producer: 'test', sequence } };
}

function unreachable(): memoryKeyedLog.MemoryKeyedLog {
  const log = new memoryKeyedLog.MemoryKeyedLog();
  log.outage = UNAVAILABLE;
  return log;
}

async function createLogs(direct: readonly KeyedLog[]): Promise<relayedLog.RelayedLog[]> {
  const time = new clock.SystemClock();
  const logger = new logging.PartLogger('test');
  const created = direct.map((_, index) => wireTesting.createTestNetwork(`vm-${index}`));
  networks.push(...created);
  await Promise.all(created.map((network) => network.listen()));
  const members = created.map(({ self }) => ({
    ...self,
    state: 'available' as const,
    listed: true,
    leaving: false,
  }));
  return created.map(
    (network, index) =>
      new relayedLog.RelayedLog({
        direct: direct[index]!,
        network,
        membership: { available: () => members },
        clock: time,
        logger,
        random: () => 0.5,
      }),
  );
}
