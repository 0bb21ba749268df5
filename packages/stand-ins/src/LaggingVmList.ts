import type * as clock from '@limpettack/clock';

import type { VmEntry } from './Types.js';

interface Version {
  readonly setAt: clock.Milliseconds;
  readonly vms: readonly VmEntry[];
}

/** The list of VMs as it was some time ago. */
export class LaggingVmList {
  private versions: Version[] = [];

  private frozen: readonly VmEntry[] | undefined;

  public constructor(private readonly time: clock.Clock) {}

  /** Sets the true list. The first one is shown at once. */
  public set(vms: readonly VmEntry[]): void {
    const setAt = this.versions.length === 0 ? -Infinity : this.time.now();
    this.versions.push({ setAt, vms });
  }

  /** Keeps the shown list as it is now, or lets it follow the true one again. */
  public freeze(frozen: boolean, lagMs: clock.Milliseconds): void {
    if (!frozen) this.frozen = undefined;
    else this.frozen ??= this.shown(lagMs);
  }

  /** The list as it was a lag ago. */
  public shown(lagMs: clock.Milliseconds): readonly VmEntry[] {
    if (this.frozen !== undefined) return this.frozen;
    const until = this.time.now() - lagMs;
    const shown = this.versions.findLastIndex((version) => version.setAt <= until);
    return this.versions[shown]?.vms ?? [];
  }
}
