import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as wireTesting from '@limpettack/wire/testing';
import * as trueMyth from 'true-myth';
import * as chooseReaders from './chooseReaders.js';
import * as keyedFollower from './KeyedFollower.js';
import * as logFailures from './LogFailures.js';
import * as sharedPartitions from './SharedPartitions.js';
import * as memoryKeyedLog from './testing/MemoryKeyedLog.js';
import type { KeyedLog, KeyedRecord, LogResult, PartitionName, StoredRecord } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const PARTITION: PartitionName = { topic: 'test', partition: 0 };
const VM_COUNT = 6;
const owned: { dispose(): void | Promise<void> }[] = [];

afterEach(async () => {
  for (const item of owned.splice(0).reverse()) await item.dispose();
});

describe('chooseReaders', () => {
  test('chooses two readers per failure domain and spreads the other VMs over both', () => {
    const available = Array.from({ length: 40 }, (_, index) => identity(index, index % 2));
    const vmsPerReader = new Map<string, number>();
    const readers = available.filter((self) => {
      const chosen = chooseReaders.chooseReaders({ available, self });
      chosen.forEach(({ failureDomain }) => expect(failureDomain).toBe(self.failureDomain));
      if (chosen.length > 0)
        vmsPerReader.set(chosen[0]!.name, (vmsPerReader.get(chosen[0]!.name) ?? 0) + 1);
      return chosen.length === 0;
    });
    expect(readers).toHaveLength(4);
    expect([...vmsPerReader.keys()].sort()).toEqual(readers.map(({ name }) => name).sort());
    // The loss of a reader replaces only that reader.
    const remaining = available.filter(({ name }) => name !== readers[0]!.name);
    const after = remaining.filter(
      (self) => chooseReaders.chooseReaders({ available: remaining, self }).length === 0,
    );
    expect(after.filter(({ name }) => readers.some((reader) => reader.name === name))).toHaveLength(
      3,
    );
    expect(after).toHaveLength(4);
  });

  test('lets each VM of a small failure domain read the log itself', () => {
    const available = [0, 1, 2, 3].map((index) => identity(index, 0));
    available.forEach((self) =>
      expect(chooseReaders.chooseReaders({ available, self })).toEqual([]),
    );
  });
});

describe('SharedPartitions', () => {
  test('two VMs of a failure domain read the log, and all VMs receive the records', async () => {
    const fleet = await createFleet();
    await fleet.write({ key: 'a', value: Buffer.from('1') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === '1'));
    const before = fleet.vms.map(({ log }) => log.reads);
    await fleet.write({ key: 'b', value: Buffer.from('1') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.b === '1'));
    await fleet.write({ key: 'a' });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === undefined));
    const reading = fleet.vms.filter(({ log }, index) => log.reads > before[index]!);
    expect(reading).toHaveLength(2);
  });

  test('records with an unchanged digest are not passed on', async () => {
    const fleet = await createFleet();
    await fleet.write({ key: 'a', value: Buffer.from('1 first') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === '1 first'));
    await fleet.write({ key: 'a', value: Buffer.from('1 second') });
    await fleet.write({ key: 'b', value: Buffer.from('2') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.b === '2'));
    const repeated = fleet.vms.filter(({ values }) => values.a === '1 second');
    expect(repeated).toHaveLength(2);
    await fleet.write({ key: 'a', value: Buffer.from('3 third') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === '3 third'));
  });

  test.each([
    ['have stopped', (vm: Vm) => vm.network.dispose()],
    [
      'cannot reach the log',
      (vm: Vm) => {
        vm.log.isUnavailable = true;
      },
    ],
    [
      'stop responding',
      (vm: Vm) => {
        vm.log.isUnresponsive = true;
      },
    ],
  ])('VMs whose readers %s read the log themselves', async (_name, breakReader) => {
    const fleet = await createFleet();
    await fleet.write({ key: 'a', value: Buffer.from('1') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === '1'));
    const readers = fleet.readers();
    for (const reader of readers) await breakReader(reader);
    const writtenAt = Date.now();
    await fleet.write({ key: 'b', value: Buffer.from('1') });
    const others = fleet.vms.filter((vm) => !readers.includes(vm));
    await fleet.until(() => others.every(({ values }) => values.b === '1'));
    // Below the time limit after which a leaving target must get no more work.
    expect(Date.now() - writtenAt).toBeLessThan(2_000);
  });

  test('keys that were removed before the history was discarded disappear on all VMs', async () => {
    const fleet = await createFleet();
    await fleet.write({ key: 'a', value: Buffer.from('1') });
    await fleet.write({ key: 'b', value: Buffer.from('1') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.b === '1'));
    fleet.log.outage = logFailures.LOG_FAILURES.UNAVAILABLE;
    await fleet.until(() =>
      fleet.readers().every((vm) => vm.follower.unreachableSince !== undefined),
    );
    fleet.log.outage = undefined;
    await fleet.write({ key: 'a' });
    fleet.log.compact(PARTITION);
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === undefined));
    expect(fleet.vms.every(({ values }) => values.b === '1')).toBe(true);
  });

  test('in an outage, VMs that are not readers call the log only once a second', async () => {
    const fleet = await createFleet();
    await fleet.write({ key: 'a', value: Buffer.from('1') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === '1'));
    const readers = fleet.readers();
    const others = fleet.vms.filter((vm) => !readers.includes(vm));
    fleet.log.outage = logFailures.LOG_FAILURES.UNAVAILABLE;
    await fleet.until(() => others.every((vm) => vm.follower.unreachableSince !== undefined));
    const before = others.reduce((sum, { log }) => sum + log.reads, 0);
    await new Promise((resolve) => {
      setTimeout(resolve, 1_000);
    });
    const calls = others.reduce((sum, { log }) => sum + log.reads, 0) - before;
    expect(calls).toBeLessThanOrEqual(2 * others.length);
    fleet.log.outage = undefined;
    await fleet.write({ key: 'a', value: Buffer.from('2') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === '2'));
  });
});

interface Vm {
  readonly network: wire.FleetNetwork;
  readonly log: CountingLog;
  readonly follower: keyedFollower.KeyedFollower;
  readonly values: Record<string, string>;
}

/** The log as seen by one VM. Counts its calls and can fail or block them. */
class CountingLog implements Pick<KeyedLog, 'newest' | 'read'> {
  public reads = 0;

  public isUnavailable = false;

  public isUnresponsive = false;

  private readonly pendingFailures: (() => void)[] = [];

  public constructor(private readonly log: KeyedLog) {}

  public newest(...call: Parameters<KeyedLog['newest']>): ReturnType<KeyedLog['newest']> {
    return this.run(() => this.log.newest(...call));
  }

  public async read(...call: Parameters<KeyedLog['read']>): ReturnType<KeyedLog['read']> {
    return this.run(() => this.log.read(...call));
  }

  private run<Value>(call: () => Promise<LogResult<Value>>): Promise<LogResult<Value>> {
    this.reads += 1;
    const kind = logFailures.LOG_FAILURES.UNAVAILABLE;
    const failed: LogResult<Value> = trueMyth.Result.err({ kind, message: 'rejected' });
    if (this.isUnresponsive) {
      return new Promise((resolve) => {
        this.pendingFailures.push(() => resolve(failed));
      });
    }
    return this.isUnavailable ? Promise.resolve(failed) : call();
  }

  /** Fails the blocked calls, so that their callers can end. */
  public dispose(): void {
    this.isUnresponsive = false;
    this.pendingFailures.forEach((fail) => fail());
  }
}

function identity(index: number, domain: number): wire.PeerIdentity {
  const name = `vm-${index}`;
  return { name, incarnation: '1', address: `${name}:1`, failureDomain: `domain-${domain}` };
}

async function createFleet() {
  const log = new memoryKeyedLog.MemoryKeyedLog();
  const networks = Array.from({ length: VM_COUNT }, (_, index) =>
    wireTesting.createTestNetwork(`vm-${index}`),
  );
  await Promise.all(networks.map((network) => network.listen()));
  const available = networks.map(({ self }) => ({
    ...self,
    state: 'available' as const,
    listed: true,
    leaving: false,
  }));
  const vms = networks.map((network): Vm => {
    const countingLog = new CountingLog(log);
    const shared = new sharedPartitions.SharedPartitions({
      log: countingLog as unknown as KeyedLog,
      network,
      membership: { available: () => available },
      clock: new clock.SystemClock(),
      logger: new logging.PartLogger('test'),
      staleMs: 2_000,
    });
    const values: Record<string, string> = {};
    const follower = follow(shared, values);
    owned.push(network, shared, follower, countingLog);
    return { network, log: countingLog, follower, values };
  });
  let sequence = 0;
  return {
    log,
    vms,
    readers: () =>
      vms.filter(
        ({ network: { self } }) => chooseReaders.chooseReaders({ available, self }).length === 0,
      ),
    async write(record: KeyedRecord) {
      sequence += 1;
      await log.append(PARTITION, [record], { identity: { producer: 'test', sequence } });
    },
    async until(condition: () => boolean) {
      while (!condition()) {
        await new Promise((resolve) => {
          setTimeout(resolve, 5);
        });
      }
    },
  };
}

/** Follows the partition into `values`. The digest of a record is the first letter of its value. */
function follow(
  shared: sharedPartitions.SharedPartitions,
  values: Record<string, string>,
): keyedFollower.KeyedFollower {
  const applyRecord = ({ key, value }: KeyedRecord): void => {
    if (value === undefined) delete values[key];
    else values[key] = Buffer.from(value).toString();
  };
  const digestOf = ({ value }: StoredRecord): string => Buffer.from(value!).toString()[0]!;
  const follower = new keyedFollower.KeyedFollower({
    source: shared.source(PARTITION, digestOf),
    handler: {
      onReset: (records) => {
        Object.keys(values).forEach((key) => delete values[key]);
        records.forEach(applyRecord);
      },
      onRecord: applyRecord,
      onCaughtUp: () => undefined,
    },
    clock: new clock.SystemClock(),
    logger: new logging.PartLogger('test'),
    waitMs: 20,
    minimumIntervalMs: 20,
    retryMs: 20,
  });
  follower.start();
  return follower;
}
