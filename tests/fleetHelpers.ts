/** Functions with which the end-to-end tests inspect and control a running fleet. */
import * as programs from '@limpettack/programs';
import * as testKit from '@limpettack/test-kit';
import * as xxhash from 'xxhash-wasm';

const STANDBY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 50;

/** The VMs that hold a shard. */
export interface ShardHolders {
  readonly owner: testKit.FleetVm;
  readonly standby: testKit.FleetVm;
}

/** Waits until all VMs are ready, agree on each shard's owner and know a standby of each shard. */
export async function untilStandbysReady(fleet: testKit.Fleet): Promise<void> {
  await fleet.untilReady();
  await testKit.waitFor(() => areStandbysReady(fleet), {
    what: 'a standby of every shard',
    timeoutMs: STANDBY_TIMEOUT_MS,
    intervalMs: POLL_INTERVAL_MS,
  });
}

/** Returns the holders of a key's shard. Throws if the owner or the standby is missing. */
export async function holdersOf(fleet: testKit.Fleet, shardKey: string): Promise<ShardHolders> {
  const { h32 } = await xxhash.default();
  const { shards } = await fleet.vm(0).describeFleet();
  const shard = shards[h32(shardKey) % shards.length];
  const [owner, standby] = [shard?.owner, shard?.standby].map((holder) =>
    fleet.vms.find((vm) => vm.name === holder?.name),
  );
  if (owner === undefined || standby === undefined)
    throw new Error(`The shard of ${shardKey} has no owner or no standby`);
  return { owner, standby };
}

/** Returns the key whose shard holds a program. The shard's owner is the program's home. */
export function shardKeyOfProgram(program: string): string {
  return programs.rootOf(program);
}

/** Returns a function that picks VMs in round-robin order. */
export function createRoundRobinPicker(vms: readonly testKit.FleetVm[]): () => testKit.FleetVm {
  let next = 0;
  return () => {
    next += 1;
    const vm = vms[next % vms.length];
    if (vm === undefined) throw new Error('There is no VM to pick');
    return vm;
  };
}

/** Kills the process of a VM and waits until it has ended. */
export async function killVm(vm: testKit.FleetVm): Promise<void> {
  vm.process.kill('SIGKILL');
  await vm.process.exited;
}

async function areStandbysReady(fleet: testKit.Fleet): Promise<boolean> {
  const views = await Promise.all(fleet.vms.map((vm) => vm.describeFleet()));
  const epochs = views.map(({ shards }) => shards.map((shard) => shard?.epoch).join());
  const hasStandbys = views.every(({ shards }) =>
    shards.every((shard) => shard?.standby !== undefined),
  );
  return hasStandbys && new Set(epochs).size === 1;
}
