import * as crypto from 'node:crypto';

import type * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import type * as platformClient from '@limpettack/platform-client';

import type * as fleetTarget from './FleetTarget.js';
import type * as fleetVm from './FleetVm.js';
import type * as platformProcess from './PlatformProcess.js';
import * as waitFor from './waitFor.js';

const AUTHOR = 'test';
const READY_TIMEOUT_MS = 30_000;
const READY_INTERVAL_MS = 50;

/** The components of a test fleet. */
export interface FleetComponents {
  readonly clock: clock.Clock;
  readonly platform: platformProcess.PlatformProcess;
  readonly log: platformClient.LogClient;
  readonly vms: readonly fleetVm.FleetVm[];
  readonly targets: readonly fleetTarget.FleetTarget[];
  /** Owns all resources of the fleet. */
  readonly store: lifetime.DisposableStore;
}

/** A platform, targets and VMs, all of them child processes on this machine. */
export class Fleet implements lifetime.Disposable {
  public readonly platform: platformProcess.PlatformProcess;

  /** A client that reaches the log without a proxy. */
  public readonly log: platformClient.LogClient;

  public readonly vms: readonly fleetVm.FleetVm[];

  public readonly targets: readonly fleetTarget.FleetTarget[];

  private readonly store: lifetime.DisposableStore;

  private readonly publisher: configuration.ConfigurationPublisher;

  public constructor(parts: FleetComponents) {
    this.platform = parts.platform;
    this.log = parts.log;
    this.vms = parts.vms;
    this.targets = parts.targets;
    this.store = parts.store;
    this.publisher = new configuration.ConfigurationPublisher({
      log: parts.log,
      stream: configuration.CONFIGURATION_STREAM,
      clock: parts.clock,
    });
  }

  /** Returns the VM with an index that starts at 0. Throws if there is none. */
  public vm(index: number): fleetVm.FleetVm {
    const vm = this.vms[index];
    if (vm === undefined) throw new Error(`There is no VM ${index}`);
    return vm;
  }

  /** Returns the target with a name such as `engine-1`. Throws if there is none. */
  public target(name: string): fleetTarget.FleetTarget {
    const found = this.targets.find((target) => target.name === name);
    if (found === undefined) throw new Error(`There is no target ${name}`);
    return found;
  }

  /** Publishes a change based on the current configuration version and returns the new version. */
  public async publish(change: configuration.ConfigurationChange): Promise<number> {
    await this.publisher.reader.readToTail();
    const result = await this.publisher.publish({
      id: crypto.randomUUID(),
      basedOn: this.publisher.reader.state.version,
      author: AUTHOR,
      change,
    });
    if (result.isErr) throw new Error(`The log did not accept the edit: ${result.error.message}`);
    if (result.value.kind === 'applied') return result.value.version;
    throw new Error(`The edit did not take effect: ${JSON.stringify(result.value)}`);
  }

  /** Adds a key to a workspace and returns the new configuration version. */
  public giveKey(workspace: string, key: string): Promise<number> {
    const { GIVE_KEY } = configuration.CHANGE_KINDS;
    const digest = configuration.keyDigest(key);
    return this.publish({ kind: GIVE_KEY, key: { digest, workspace, label: '' } });
  }

  /** Withdraws a key and returns the new configuration version. */
  public withdrawKey(key: string): Promise<number> {
    const { WITHDRAW_KEY } = configuration.CHANGE_KINDS;
    return this.publish({ kind: WITHDRAW_KEY, digest: configuration.keyDigest(key) });
  }

  /** Sets the platform's list of VMs, by default to all VMs, and marks those that are leaving. */
  public async listVms(
    vms: readonly fleetVm.FleetVm[] = this.vms,
    leaving: readonly fleetVm.FleetVm[] = [],
  ): Promise<void> {
    await this.platform.setVms(
      vms.map((vm) => ({
        name: vm.name,
        address: vm.peersAddress,
        failureDomain: vm.failureDomain,
        leaving: leaving.includes(vm),
      })),
    );
  }

  /** Waits until VMs, by default all, are ready and know an owner of every shard. */
  public async untilReady(
    vms: readonly fleetVm.FleetVm[] = this.vms,
    timeoutMs: clock.Milliseconds = READY_TIMEOUT_MS,
  ): Promise<void> {
    await Promise.all(
      vms.map((vm) =>
        waitFor.waitFor(() => isReady(vm), {
          what: `${vm.name} to be ready`,
          timeoutMs,
          intervalMs: READY_INTERVAL_MS,
        }),
      ),
    );
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }
}

async function isReady(vm: fleetVm.FleetVm): Promise<boolean> {
  if (!vm.process.isRunning) throw new Error(`${vm.name} has ended:\n${vm.process.output}`);
  if (!(await vm.isReady())) return false;
  const { shards } = await vm.describeFleet();
  return shards.every((shard) => shard !== null);
}
