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

/** The parts of a test fleet. */
export interface FleetParts {
  readonly clock: clock.Clock;
  readonly platform: platformProcess.PlatformProcess;
  readonly log: platformClient.LogClient;
  readonly vms: readonly fleetVm.FleetVm[];
  readonly targets: readonly fleetTarget.FleetTarget[];
  /** Owns all that the fleet has opened. */
  readonly store: lifetime.DisposableStore;
}

/** A platform, targets and VM processes, all real processes on this machine. */
export class Fleet implements lifetime.Disposable {
  public readonly platform: platformProcess.PlatformProcess;

  /** The log, reached without a proxy. */
  public readonly log: platformClient.LogClient;

  public readonly vms: readonly fleetVm.FleetVm[];

  public readonly targets: readonly fleetTarget.FleetTarget[];

  private readonly store: lifetime.DisposableStore;

  private readonly publisher: configuration.ConfigurationPublisher;

  public constructor(parts: FleetParts) {
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

  /** The VM of an index, counted from 0. */
  public vm(index: number): fleetVm.FleetVm {
    const vm = this.vms[index];
    if (vm === undefined) throw new Error(`There is no VM ${index}`);
    return vm;
  }

  /** The target of a name, such as `engine-1`. */
  public target(name: string): fleetTarget.FleetTarget {
    const found = this.targets.find((target) => target.name === name);
    if (found === undefined) throw new Error(`There is no target ${name}`);
    return found;
  }

  /** Publishes a change on top of the present version and returns the new version. */
  public async publish(change: configuration.ConfigurationChange): Promise<number> {
    await this.publisher.reader.readToTail();
    const result = await this.publisher.publish({
      id: crypto.randomUUID(),
      basedOn: this.publisher.reader.state.version,
      author: AUTHOR,
      change,
    });
    if (result.isErr) throw new Error(`The log took no edit: ${result.error.message}`);
    if (result.value.kind === 'applied') return result.value.version;
    throw new Error(`The edit did not take effect: ${JSON.stringify(result.value)}`);
  }

  /** Gives a key to a workspace. */
  public giveKey(workspace: string, key: string): Promise<number> {
    const { GIVE_KEY } = configuration.CHANGE_KINDS;
    const digest = configuration.keyDigest(key);
    return this.publish({ kind: GIVE_KEY, key: { digest, workspace, label: '' } });
  }

  /** Withdraws a key. */
  public withdrawKey(key: string): Promise<number> {
    const { WITHDRAW_KEY } = configuration.CHANGE_KINDS;
    return this.publish({ kind: WITHDRAW_KEY, digest: configuration.keyDigest(key) });
  }

  /** Sets the platform's list to the VMs given, or to all. */
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

  /** Waits until the VMs given, or all, are ready and know an owner of every shard. */
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
