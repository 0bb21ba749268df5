import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as testKit from '@limpettack/test-kit';

const SAMPLE_INTERVAL_MS = 40;

/** Periodically samples the configuration version of every VM that is ready. */
export class VersionWatch implements lifetime.Disposable {
  /** A description of each version that was lower than an earlier one of the same VM. */
  public readonly reversals: string[] = [];

  public sampleCount = 0;

  private isStopped = false;

  private readonly sampling: Promise<unknown>;

  public constructor(
    private readonly time: clock.Clock,
    vms: readonly testKit.FleetVm[],
  ) {
    this.sampling = Promise.all(vms.map((vm) => this.sample(vm)));
  }

  /** Stops the sampling. */
  public async dispose(): Promise<void> {
    this.isStopped = true;
    await this.sampling;
  }

  private async sample(vm: testKit.FleetVm): Promise<void> {
    let highest = 0;
    while (!this.isStopped) {
      const version = await readVersion(vm);
      if (version !== undefined) {
        this.sampleCount += 1;
        if (version < highest) this.reversals.push(`${vm.name}: ${version} after ${highest}`);
        highest = Math.max(highest, version);
      }
      await this.time.sleep(SAMPLE_INTERVAL_MS);
    }
  }
}

/** Returns the version in effect, or undefined while the VM is not ready or not reachable. */
async function readVersion(vm: testKit.FleetVm): Promise<number | undefined> {
  try {
    if (!(await vm.isReady())) return undefined;
    return (await vm.describeFleet()).configurationVersion;
  } catch {
    return undefined;
  }
}
