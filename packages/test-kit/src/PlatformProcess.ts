import type * as lifetime from '@limpettack/lifetime';
import type * as standIns from '@limpettack/stand-ins';

import * as adminClient from './AdminClient.js';
import type * as runningProcess from './RunningProcess.js';
import * as starting from './startProcess.js';

/** Number of appends, records and bytes written to each stream, by stream name. */
export type AppendCounts = Readonly<
  Record<string, { readonly appends: number; readonly records: number; readonly bytes: number }>
>;

/** A platform stand-in that runs as a child process. */
export class PlatformProcess implements lifetime.Disposable {
  private readonly admin: adminClient.AdminClient;

  public constructor(public readonly process: runningProcess.RunningProcess) {
    this.admin = new adminClient.AdminClient(process.url);
  }

  /** The address on which the platform listens, as `host:port`. */
  public get address(): string {
    return this.process.address;
  }

  /** Changes the given faults and leaves the others unchanged. */
  public async setFaults(changes: standIns.PlatformFaultChanges): Promise<void> {
    await this.admin.send('POST', '/admin/faults', changes);
  }

  /** Replaces the platform's list of VMs. */
  public async setVms(vms: readonly standIns.VmEntry[]): Promise<void> {
    await this.admin.send('PUT', '/admin/vms', { vms });
  }

  /** Returns the number of appends, records and bytes of each stream. */
  public async counts(): Promise<AppendCounts> {
    const response = (await this.admin.send('GET', '/admin/log')) as { streams: AppendCounts };
    return response.streams;
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.process.dispose();
  }
}

/** Starts a platform stand-in with command-line options such as `vm-list-lag-ms`. */
export async function startPlatform(
  options: starting.CommandLineOptions = {},
): Promise<PlatformProcess> {
  const running = await starting.startProcess({
    packageName: 'stand-ins',
    main: 'platformMain.js',
    arguments: starting.commandLine(options),
    name: 'platform',
  });
  return new PlatformProcess(running);
}
