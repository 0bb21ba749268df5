import * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';
import * as lifetime from '@limpettack/lifetime';
import * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import * as wire from '@limpettack/wire';
import * as wireTesting from '@limpettack/wire/testing';
import * as trueMyth from 'true-myth';
import * as homeClient from '../HomeClient.js';
import * as homePartition from '../HomePartition.js';
import * as homeServer from '../HomeServer.js';

/** The partition that the fixtures write to. */
export const PARTITION: keyedLog.PartitionName = { topic: 'programs', partition: 0 };

/** Exceeds twice the idle time after which a watermark is lowered, plus a write. */
const LOWERING_WAIT_MS = 900;

/** Number of partitions in a fleet. */
const PARTITION_COUNT = 16;

/** Exceeds the pause between two attempts to write. */
const WRITES_WAIT_MS = 150;

export function createLog(): keyedLogTesting.MemoryKeyedLog {
  return new keyedLogTesting.MemoryKeyedLog();
}

/** Time after which a call to a silent log is given up. */
const SILENCE_TIMEOUT_MS = 1_000;

/** A log that does not respond to appends while it is silent, and counts the stored records. */
class SilentLog extends keyedLogTesting.MemoryKeyedLog {
  public recordCount = 0;

  public constructor(
    private readonly time: clock.Clock,
    private readonly isSilent: () => boolean,
  ) {
    super();
  }

  /** @inheritdoc */
  public override async append(
    ...call: Parameters<keyedLog.KeyedLog['append']>
  ): Promise<keyedLog.LogResult<keyedLog.AppendReceipt>> {
    if (this.isSilent()) {
      await this.time.sleep(SILENCE_TIMEOUT_MS);
      const kind = keyedLog.LOG_FAILURES.LOST;
      return trueMyth.Result.err({ kind, message: 'no response' });
    }
    this.recordCount += call[1].length;
    return super.append(...call);
  }
}

export function createSilentLog(time: clock.Clock, isSilent: () => boolean): SilentLog {
  return new SilentLog(time, isSilent);
}

export function createPartition(options: {
  readonly log: keyedLog.KeyedLog;
  readonly producer: string;
  readonly time?: clock.Clock;
  readonly programsContinueDuringOutages?: boolean;
}): homePartition.HomePartition {
  return new homePartition.HomePartition({
    partition: 0,
    log: options.log,
    clock: options.time ?? new clock.SystemClock(),
    logger: new logging.PartLogger('homes'),
    producer: options.producer,
    requestRelease: async () => undefined,
    ...(options.programsContinueDuringOutages === true
      ? { mayContinueDuringOutages: () => true }
      : {}),
  });
}

/** A clock that can be set forward; its timers follow the system clock. */
export function createShiftedClock(): clock.Clock & { shiftMs: clock.Milliseconds } {
  const system = new clock.SystemClock();
  const shifted = Object.create(system) as clock.Clock & { shiftMs: clock.Milliseconds };
  shifted.shiftMs = 0;
  shifted.now = () => system.now() + shifted.shiftMs;
  return shifted;
}

/** Resolves when the watermarks of idle programs have been lowered. */
export function waitForLowering(): Promise<void> {
  return new clock.SystemClock().sleep(LOWERING_WAIT_MS);
}

/** A home server that is the only member. */
export function createSingleHome(
  log: keyedLog.KeyedLog,
): lifetime.Disposable & { readonly server: homeServer.HomeServer } {
  const time = new clock.SystemClock();
  const logger = new logging.PartLogger('homes');
  const network = wireTesting.createTestNetwork('vm-1');
  const members = {
    available: () => [],
    members: () => [],
    onChange: () => ({ dispose: () => undefined }),
  };
  const server = new homeServer.HomeServer({
    log,
    network,
    membership: members,
    clock: time,
    logger,
    partitionCount: 1,
    producer: 'vm-1',
  });
  return {
    server,
    dispose: async () => {
      await server.dispose();
      await network.dispose();
    },
  };
}

/** Waits until a condition holds. */
export async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) await new clock.SystemClock().sleep(20);
}

/** Resolves when appends in progress have completed. */
export function waitForWrites(): Promise<void> {
  return new clock.SystemClock().sleep(WRITES_WAIT_MS);
}

/** Home servers and their clients, connected over real network links. */
export interface HomeFleet extends lifetime.Disposable {
  readonly log: keyedLogTesting.MemoryKeyedLog;
  readonly networks: readonly wire.FleetNetwork[];
  readonly servers: readonly homeServer.HomeServer[];
  readonly clients: readonly homeClient.HomeClient[];
  /** Returns a program that is owned by the given VM in the view of all VMs. */
  programOwnedBy(vm: number): string;
  /** Returns the first generated program name that meets the condition. */
  findProgram(condition: (program: string) => boolean): string;
  /** Returns the VM that the given VM considers the owner. */
  ownerAsSeenBy(vm: number, program: string): number;
  /** Removes a member from the view of one VM. */
  hide(view: { readonly from: number; readonly member: number }): void;
}

/** A client whose four homes do not respond, and the method names of its requests. */
export function createUnresponsiveClient(time: clock.Clock): {
  readonly client: homeClient.HomeClient;
  readonly requestedMethods: readonly string[];
} {
  const requestedMethods: string[] = [];
  const { self } = wireTesting.createTestNetwork('vm-0');
  const members = [1, 2, 3, 4].map((vm) => ({
    ...self,
    name: `vm-${vm}`,
    address: `vm-${vm}:1`,
    state: 'available' as const,
    listed: true,
    leaving: false,
  }));
  const network: Pick<wire.PeerNetwork, 'self' | 'request'> = {
    self,
    request: async (_address, { name }, _request, { timeoutMs }) => {
      requestedMethods.push(name);
      await time.sleep(timeoutMs);
      return trueMyth.Result.err({ kind: wire.PEER_FAILURES.TIMED_OUT, message: 'no response' });
    },
  };
  const client = new homeClient.HomeClient({
    server: undefined as never,
    network: network as wire.PeerNetwork,
    membership: { available: () => members, onChange: () => ({ dispose: () => undefined }) },
    clock: time,
    logger: new logging.PartLogger('homes'),
    partitionCount: PARTITION_COUNT,
  });
  return { client, requestedMethods };
}

/** Runs the events that are due. */
export async function flushEvents(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

export async function createHomeFleet(
  count: number,
  programsContinueDuringOutages = false,
): Promise<HomeFleet> {
  const log = createLog();
  const time = new clock.SystemClock();
  const logger = new logging.PartLogger('homes');
  const hidden = new Set<string>();
  const changes = new lifetime.Emitter<membership.Member>();
  const networks = Array.from({ length: count }, (_, index) =>
    wireTesting.createTestNetwork(`vm-${index}`),
  );
  await Promise.all(networks.map((network) => network.listen()));
  const allMembers = networks.map(({ self }) => ({
    ...self,
    state: 'available' as const,
    listed: true,
    leaving: false,
  }));
  const membersSeenBy = (vm: number): typeof allMembers =>
    allMembers.filter((_, member) => !hidden.has(`${vm}/${member}`));
  const createSharedOptions = (vm: number) => ({
    log,
    network: networks[vm]!,
    membership: {
      available: () => membersSeenBy(vm),
      members: () => allMembers,
      onChange: changes.event,
    },
    clock: time,
    logger,
    partitionCount: PARTITION_COUNT,
    producer: `vm-${vm}`,
    programsContinueDuringOutages,
  });
  const servers = networks.map((_, vm) => new homeServer.HomeServer(createSharedOptions(vm)));
  const clients = servers.map(
    (server, vm) => new homeClient.HomeClient({ ...createSharedOptions(vm), server }),
  );
  const ownerAsSeenBy = (vm: number, program: string): number => {
    const partition = keyedLog.partitionOf(program, PARTITION_COUNT);
    const owner = homeServer.rankOwners(partition, membersSeenBy(vm))[0];
    return allMembers.findIndex(({ name }) => name === owner?.name);
  };
  const findProgram = (condition: (program: string) => boolean): string => {
    for (let index = 0; ; index += 1) {
      if (condition(`program-${index}`)) return `program-${index}`;
    }
  };
  return {
    log,
    networks,
    servers,
    clients,
    ownerAsSeenBy,
    findProgram,
    programOwnedBy: (vm) => findProgram((program) => ownerAsSeenBy(vm, program) === vm),
    hide: ({ from, member }) => {
      hidden.add(`${from}/${member}`);
      changes.fire(allMembers[member]!);
    },
    dispose: async () => {
      await Promise.all(servers.map((server) => server.dispose()));
      await Promise.all(networks.map((network) => network.dispose()));
    },
  };
}
