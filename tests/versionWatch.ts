import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as testKit from '@limpettack/test-kit';

const INTERVAL_MS = 40;

/** Samples the configuration version of every VM that says it is ready, over and over. */
export class VersionWatch implements lifetime.Disposable {
  /** A sentence for each version that was lower than one seen before on the same VM. */
  public readonly reversals: string[] = [];

  public sampleCount = 0;

  private isStopped = false;

  private readonly running: Promise<unknown>;

  public constructor(
    private readonly time: clock.Clock,
    vms: readonly testKit.FleetVm[],
  ) {
    this.running = Promise.all(vms.map((vm) => this.watch(vm)));
  }

  /** Ends the sampling. */
  public async dispose(): Promise<void> {
    this.isStopped = true;
    await this.running;
  }

  private async watch(vm: testKit.FleetVm): Promise<void> {
    let highest = 0;
    while (!this.isStopped) {
      const version = await readVersion(vm);
      if (version !== undefined) {
        this.sampleCount += 1;
        if (version < highest) this.reversals.push(`${vm.name}: ${version} after ${highest}`);
        highest = Math.max(highest, version);
      }
      await this.time.sleep(INTERVAL_MS);
    }
  }
}

/** The version in force; nothing while the VM is not ready or not there. */
async function readVersion(vm: testKit.FleetVm): Promise<number | undefined> {
  try {
    if (!(await vm.isReady())) return undefined;
    return (await vm.describeFleet()).configurationVersion;
  } catch {
    return undefined;
  }
}
