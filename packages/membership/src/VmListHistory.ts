import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';

interface Absence {
  /** Time of the first read without the VM since `absentFor` was first called. */
  since?: clock.Milliseconds;
}

/** Tracks which VMs successful reads of the platform's list contained. */
export class VmListHistory {
  private listed = new Map<string, platformClient.ListedVm>();

  private readonly absences = new Map<string, Absence>();

  private lastReadAt: clock.Milliseconds = 0;

  /** Applies a successful read. Returns the VMs dropped from the list since the previous read. */
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

  /** Returns the VM's entry in the latest successful read. */
  public listing(name: string): platformClient.ListedVm | undefined {
    return this.listed.get(name);
  }

  /**
   * Returns how long successful reads have not contained the VM, in milliseconds. The duration
   * starts at the first read after the first call for a VM, because a VM that has just started is
   * not listed yet either.
   */
  public absentFor(name: string): clock.Milliseconds {
    const absence = this.absences.get(name);
    if (absence === undefined) {
      this.absences.set(name, {});
      return 0;
    }
    return absence.since === undefined ? 0 : this.lastReadAt - absence.since;
  }

  /** Restarts the duration of a VM's absence after a message from it. */
  public restartAbsence(name: string): void {
    this.absences.delete(name);
  }

  private updateAbsence(name: string): void {
    if (this.listed.has(name)) this.absences.delete(name);
    else this.absences.set(name, { since: this.absences.get(name)?.since ?? this.lastReadAt });
  }
}
