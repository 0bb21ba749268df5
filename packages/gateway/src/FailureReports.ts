import type * as clock from '@limpettack/clock';

/** A target is suspected when this number of VMs have seen it fail. */
const VMS_TO_SUSPECT = 2;

/** The failures that VMs have seen count together if they lie within this time. */
const REPORT_WINDOW_MS = 2_000;

/** Minimum time between two suspicions of the same target. */
const SUSPICION_INTERVAL_MS = 500;

/**
 * Decides, from the failures that VMs report, which targets all VMs should suspect. The failures
 * that a single VM sees may be its own fault, such as a bad link.
 */
export class FailureReports {
  /** When each VM last reported a target, by target and VM. */
  private readonly reports = new Map<string, Map<string, clock.Milliseconds>>();

  private readonly suspectedAt = new Map<string, clock.Milliseconds>();

  /** Records a report and returns whether the target is to be suspected now. */
  public note(target: string, vm: string, now: clock.Milliseconds): boolean {
    const reporters = this.reports.get(target) ?? new Map<string, clock.Milliseconds>();
    this.reports.set(target, reporters);
    reporters.set(vm, now);
    reporters.forEach((at, name) => {
      if (now - at > REPORT_WINDOW_MS) reporters.delete(name);
    });
    if (reporters.size < VMS_TO_SUSPECT) return false;
    const suspectedAt = this.suspectedAt.get(target) ?? Number.NEGATIVE_INFINITY;
    if (now - suspectedAt < SUSPICION_INTERVAL_MS) return false;
    this.suspectedAt.set(target, now);
    return true;
  }

  /** Discards what is known of a target that has been removed. */
  public discard(target: string): void {
    this.reports.delete(target);
    this.suspectedAt.delete(target);
  }
}
