import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as wireTesting from '@limpettack/wire/testing';
import * as logFailures from './LogFailures.js';
import * as relayedLog from './RelayedLog.js';
import * as memoryKeyedLog from './testing/MemoryKeyedLog.js';
import * as silentLog from './testing/SilentLog.js';
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

  // The values of appended records would reach a region to which no body may be sent.
  test('a confined call is relayed only through the allowed peers, and other calls through all', async () => {
    const [foreign, near] = [1, 2].map(() => new memoryKeyedLog.MemoryKeyedLog());
    const [cutOff] = await createLogs([unreachable(), foreign!, near!], {
      appliesTo: ({ call }) => call === 'append',
      allows: ({ failureDomain }) => failureDomain === 'domain-2',
    });
    expect((await cutOff!.append(PARTITION, [RECORD], options(0))).isOk).toBe(true);
    near!.outage = UNAVAILABLE;
    expect((await cutOff!.append(PARTITION, [RECORD], options(1))).isErr).toBe(true);
    expect(foreign!.appendCount).toBe(0);
    expect((await cutOff!.newest(PARTITION)).isOk).toBe(true);
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

  // Replays a VM that the platform cuts off from the log for many seconds while callers keep coming:
  // each second, the calls that tried the direct path again waited for its timeout.
  test('calls of a cut off process do not wait for the direct path once it is known to fail', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const direct = new silentLog.SilentLog(log);
    const [cutOff] = await createLogs([direct, log]);
    log.failures.push(UNAVAILABLE);
    await cutOff!.newest(PARTITION);
    // From now on the direct path never responds, so a call that waited for it would never end.
    direct.isSilent = true;
    const startedAt = Date.now();
    while (Date.now() - startedAt < 2_200) {
      expect((await cutOff!.newest(PARTITION)).isOk).toBe(true);
      await pause(20);
    }
  });

  test('a call in progress moves to a relay as soon as another call finds the direct path failing', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const direct = new silentLog.SilentLog(log);
    const [cutOff] = await createLogs([direct, log]);
    direct.isSilent = true;
    const hanging = cutOff!.append(PARTITION, [RECORD], options(0));
    direct.isSilent = false;
    log.failures.push(UNAVAILABLE);
    expect((await cutOff!.newest(PARTITION)).isOk).toBe(true);
    // The direct path never responds, so only a relay can have served the append.
    expect((await hanging).isOk).toBe(true);
  });

  test('a call that hangs in an outage is sent again as soon as another call reaches the log', async () => {
    const log = new memoryKeyedLog.MemoryKeyedLog();
    const direct = new silentLog.SilentLog(log);
    const [only] = await createLogs([direct]);
    log.failures.push(UNAVAILABLE);
    await only!.newest(PARTITION);
    direct.isSilent = true;
    const hanging = only!.append(PARTITION, [RECORD], options(0));
    direct.isSilent = false;
    while ((await only!.newest(PARTITION)).isErr) await pause(5);
    // The first attempt of the append never ends.
    expect((await hanging).isOk).toBe(true);
    expect(log.appendCount).toBe(1);
  });

  test('a relayed append without a response is reported as lost, since it may have taken effect', async () => {
    const silent = new silentLog.SilentLog(new memoryKeyedLog.MemoryKeyedLog());
    silent.isSilent = true;
    const [cutOff] = await createLogs([unreachable(), silent]);
    const result = await cutOff!.append(PARTITION, [RECORD], options(0));
    expect(result.isErr && result.error.kind).toBe(logFailures.LOG_FAILURES.LOST);
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

async function createLogs(
  direct: readonly KeyedLog[],
  confinement?: relayedLog.RelayConfinement,
): Promise<relayedLog.RelayedLog[]> {
  const time = new clock.SystemClock();
  const logger = new logging.PartLogger('test');
  const created = direct.map((_, index) => wireTesting.createTestNetwork(`vm-${index}`));
  networks.push(...created);
  await Promise.all(created.map((network) => network.listen()));
  const members = created.map(({ self }, index) => ({
    ...self,
    failureDomain: `domain-${index}`,
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
        confinement,
        clock: time,
        logger,
        random: () => 0.5,
      }),
  );
}
