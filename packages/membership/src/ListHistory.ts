import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';

interface Absence {
  /** When the first read since the question lacked the VM; nothing before such a read. */
  since?: clock.Milliseconds;
}

/** What successful reads of the platform's list have said of each VM. */
export class ListHistory {
  private listed = new Map<string, platformClient.ListedVm>();

  private readonly absences = new Map<string, Absence>();

  private lastReadAt: clock.Milliseconds = 0;

  /** Takes a successful read in and returns the VMs that the list has dropped since the last. */
  public apply(
    vms: readonly platformClient.ListedVm[],
    now: clock.Milliseconds,
  ): readonly platformClient.ListedVm[] {
    const next = new Map(vms.map((vm) => [vm.name, vm]));
    const dropped = [...this.listed.values()].filter((vm) => !next.has(vm.name));
    this.listed = next;
    this.lastReadAt = now;
    [...this.absences.keys()].forEach((name) => this.updateAbsence(name));
    return dropped;
  }

  /** The VM as the latest successful read lists it. */
  public listing(name: string): platformClient.ListedVm | undefined {
    return this.listed.get(name);
  }

  /**
   * For how long successful reads have lacked the VM, in milliseconds. The first question about a
   * VM starts the count, because a VM that has just started is not listed yet either.
   */
  public absentFor(name: string): clock.Milliseconds {
    const absence = this.absences.get(name);
    if (absence === undefined) {
      this.absences.set(name, {});
      return 0;
    }
    return absence.since === undefined ? 0 : this.lastReadAt - absence.since;
  }

  /** Starts the count of a VM's absence anew, because it has been heard from. */
  public restartAbsence(name: string): void {
    this.absences.delete(name);
  }

  private updateAbsence(name: string): void {
    if (this.listed.has(name)) this.absences.delete(name);
    else this.absences.set(name, { since: this.absences.get(name)?.since ?? this.lastReadAt });
  }
}
