import type * as lifetime from '@limpettack/lifetime';
import type * as standIns from '@limpettack/stand-ins';

import * as adminClient from './AdminClient.js';
import type * as runningProcess from './RunningProcess.js';
import * as starting from './startProcess.js';

/** Counts of the appends of each stream. */
export type AppendCounts = Readonly<
  Record<string, { readonly appends: number; readonly records: number; readonly bytes: number }>
>;

/** The platform stand-in as a process. */
export class PlatformProcess implements lifetime.Disposable {
  private readonly admin: adminClient.AdminClient;

  public constructor(public readonly process: runningProcess.RunningProcess) {
    this.admin = new adminClient.AdminClient(process.url);
  }

  /** Where the platform listens, as `host:port`. */
  public get address(): string {
    return this.process.address;
  }

  /** Changes the given faults and leaves the others. */
  public async setFaults(changes: standIns.PlatformFaultChanges): Promise<void> {
    await this.admin.send('POST', '/admin/faults', changes);
  }

  /** Sets the list of VMs. */
  public async setVms(vms: readonly standIns.VmEntry[]): Promise<void> {
    await this.admin.send('PUT', '/admin/vms', { vms });
  }

  /** Appends and bytes of each stream. */
  public async counts(): Promise<AppendCounts> {
    const answer = (await this.admin.send('GET', '/admin/log')) as { streams: AppendCounts };
    return answer.streams;
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.process.dispose();
  }
}

/** Starts the platform stand-in with options of its command line, such as `vm-list-lag-ms`. */
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
