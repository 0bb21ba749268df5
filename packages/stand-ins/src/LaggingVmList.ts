import type * as clock from '@limpettack/clock';

import type { VmEntry } from './Types.js';

interface ListVersion {
  readonly setAt: clock.Milliseconds;
  readonly vms: readonly VmEntry[];
}

/** List of VMs that is reported with a lag. */
export class LaggingVmList {
  private versions: ListVersion[] = [];

  private frozen: readonly VmEntry[] | undefined;

  public constructor(private readonly time: clock.Clock) {}

  /** Sets the current list. The first list is reported without a lag. */
  public set(vms: readonly VmEntry[]): void {
    const setAt = this.versions.length === 0 ? -Infinity : this.time.now();
    this.versions.push({ setAt, vms });
  }

  /** Freezes the reported list, or lets it follow the current list again. */
  public freeze(frozen: boolean, lagMs: clock.Milliseconds): void {
    if (!frozen) this.frozen = undefined;
    else this.frozen ??= this.reported(lagMs);
  }

  /** The list as it was `lagMs` ago, or the frozen list. */
  public reported(lagMs: clock.Milliseconds): readonly VmEntry[] {
    if (this.frozen !== undefined) return this.frozen;
    const laggedTime = this.time.now() - lagMs;
    const index = this.versions.findLastIndex((version) => version.setAt <= laggedTime);
    return this.versions[index]?.vms ?? [];
  }
}
