/** What the tests of promises ask of a running fleet. */
import * as programs from '@limpettack/programs';
import * as testKit from '@limpettack/test-kit';
import * as xxhash from 'xxhash-wasm';

const STANDBY_TIMEOUT_MS = 20_000;
const INTERVAL_MS = 50;

/** Who holds a shard. */
export interface Holders {
  readonly owner: testKit.FleetVm;
  readonly standby: testKit.FleetVm;
}

/** Waits until all VMs are ready, agree on the owner of each shard and know a standby of each. */
export async function untilPaired(fleet: testKit.Fleet): Promise<void> {
  await fleet.untilReady();
  await testKit.waitFor(() => isPaired(fleet), {
    what: 'a standby of every shard',
    timeoutMs: STANDBY_TIMEOUT_MS,
    intervalMs: INTERVAL_MS,
  });
}

/** The holders of the shard that a text hashes to. Throws when there is no pair. */
export async function holdersOf(fleet: testKit.Fleet, shardKey: string): Promise<Holders> {
  const { h32 } = await xxhash.default();
  const { shards } = await fleet.vm(0).describeFleet();
  const shard = shards[h32(shardKey) % shards.length];
  const [owner, standby] = [shard?.owner, shard?.standby].map((holder) =>
    fleet.vms.find((vm) => vm.name === holder?.name),
  );
  if (owner === undefined || standby === undefined) throw new Error(`${shardKey} has no pair`);
  return { owner, standby };
}

/** The text by which the home of a program is found. */
export function shardKeyOfProgram(program: string): string {
  return programs.rootOf(program);
}

/** Picks the VMs given in turn. */
export function pickInTurn(vms: readonly testKit.FleetVm[]): () => testKit.FleetVm {
  let next = 0;
  return () => {
    next += 1;
    const vm = vms[next % vms.length];
    if (vm === undefined) throw new Error('There is no VM to pick');
    return vm;
  };
}

/** Kills a VM and waits for its end. */
export async function killVm(vm: testKit.FleetVm): Promise<void> {
  vm.process.kill('SIGKILL');
  await vm.process.exited;
}

async function isPaired(fleet: testKit.Fleet): Promise<boolean> {
  const views = await Promise.all(fleet.vms.map((vm) => vm.describeFleet()));
  const epochs = views.map(({ shards }) => shards.map((shard) => shard?.epoch).join());
  const hasStandbys = views.every(({ shards }) =>
    shards.every((shard) => shard?.standby !== undefined),
  );
  return hasStandbys && new Set(epochs).size === 1;
}
