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
const disposables: { dispose(): void | Promise<void> }[] = [];

afterEach(async () => {
  for (const item of disposables.splice(0).reverse()) await item.dispose();
});

describe('chooseReaders', () => {
  test('has two readers for each failure domain, and the others ask both of them in turn', () => {
    const available = Array.from({ length: 40 }, (_, index) => identity(index, index % 2));
    const asked = new Map<string, number>();
    const readers = available.filter((self) => {
      const chosen = chooseReaders.chooseReaders({ available, self });
      chosen.forEach(({ failureDomain }) => expect(failureDomain).toBe(self.failureDomain));
      if (chosen.length > 0) asked.set(chosen[0]!.name, (asked.get(chosen[0]!.name) ?? 0) + 1);
      return chosen.length === 0;
    });
    expect(readers).toHaveLength(4);
    expect([...asked.keys()].sort()).toEqual(readers.map(({ name }) => name).sort());
    // A loss moves nothing but the place of the VM that was lost.
    const left = available.filter(({ name }) => name !== readers[0]!.name);
    const after = left.filter(
      (self) => chooseReaders.chooseReaders({ available: left, self }).length === 0,
    );
    expect(after.filter(({ name }) => readers.some((reader) => reader.name === name))).toHaveLength(
      3,
    );
    expect(after).toHaveLength(4);
  });

  test('lets each VM of a small failure domain read by itself', () => {
    const available = [0, 1, 2, 3].map((index) => identity(index, 0));
    available.forEach((self) =>
      expect(chooseReaders.chooseReaders({ available, self })).toEqual([]),
    );
  });
});

describe('SharedPartitions', () => {
  test('two VMs of a failure domain read the log, and all learn what is written', async () => {
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

  test('records that say the same again are not passed on', async () => {
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
    ['have gone', (vm: Vm) => vm.network.dispose()],
    [
      'do not reach the log',
      (vm: Vm) => {
        vm.log.isAway = true;
      },
    ],
    [
      'fall silent',
      (vm: Vm) => {
        vm.log.isSilent = true;
      },
    ],
  ])('VMs whose readers %s read the log themselves', async (_name, harm) => {
    const fleet = await createFleet();
    await fleet.write({ key: 'a', value: Buffer.from('1') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === '1'));
    const readers = fleet.readers();
    for (const reader of readers) await harm(reader);
    const writtenAt = Date.now();
    await fleet.write({ key: 'b', value: Buffer.from('1') });
    const others = fleet.vms.filter((vm) => !readers.includes(vm));
    await fleet.until(() => others.every(({ values }) => values.b === '1'));
    // Below the time in which a leaving target must get no more work.
    expect(Date.now() - writtenAt).toBeLessThan(2_000);
  });

  test('keys that went while the history was dropped go everywhere', async () => {
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

  test('a log that is away is asked by its readers, and by the others once a second', async () => {
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
    const asked = others.reduce((sum, { log }) => sum + log.reads, 0) - before;
    expect(asked).toBeLessThanOrEqual(2 * others.length);
    fleet.log.outage = undefined;
    await fleet.write({ key: 'a', value: Buffer.from('2') });
    await fleet.until(() => fleet.vms.every(({ values }) => values.a === '2'));
  });
});

interface Vm {
  readonly network: wire.FleetNetwork;
  readonly log: CountedLog;
  readonly follower: keyedFollower.KeyedFollower;
  readonly values: Record<string, string>;
}

/** The log as one VM reaches it. */
class CountedLog implements Pick<KeyedLog, 'newest' | 'read'> {
  public reads = 0;

  public isAway = false;

  public isSilent = false;

  private readonly unanswered: (() => void)[] = [];

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
    const failed: LogResult<Value> = trueMyth.Result.err({ kind, message: 'turned away' });
    if (this.isSilent) {
      return new Promise((resolve) => {
        this.unanswered.push(() => resolve(failed));
      });
    }
    return this.isAway ? Promise.resolve(failed) : call();
  }

  /** Lets calls without an answer fail, so that those who made them can end. */
  public dispose(): void {
    this.isSilent = false;
    this.unanswered.forEach((fail) => fail());
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
    const counted = new CountedLog(log);
    const shared = new sharedPartitions.SharedPartitions({
      log: counted as unknown as KeyedLog,
      network,
      membership: { available: () => available },
      clock: new clock.SystemClock(),
      logger: new logging.PartLogger('test'),
      staleMs: 2_000,
    });
    const values: Record<string, string> = {};
    const follower = follow(shared, values);
    disposables.push(network, shared, follower, counted);
    return { network, log: counted, follower, values };
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

/** Follows into `values`; records with the same first letter say the same. */
function follow(
  shared: sharedPartitions.SharedPartitions,
  values: Record<string, string>,
): keyedFollower.KeyedFollower {
  const take = ({ key, value }: KeyedRecord): void => {
    if (value === undefined) delete values[key];
    else values[key] = Buffer.from(value).toString();
  };
  const digestOf = ({ value }: StoredRecord): string => Buffer.from(value!).toString()[0]!;
  const follower = new keyedFollower.KeyedFollower({
    source: shared.source(PARTITION, digestOf),
    handler: {
      onReset: (records) => {
        Object.keys(values).forEach((key) => delete values[key]);
        records.forEach(take);
      },
      onRecord: take,
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
