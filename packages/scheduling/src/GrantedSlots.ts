import type * as clock from '@limpettack/clock';

const MILLISECONDS_PER_SECOND = 1_000;

/** A granted slot. */
export interface GrantedSlot {
  /** Releases the slot. Returns false if it was already released. */
  release(): boolean;
}

/**
 * Counts the granted slots of this process by target, and sums the expected durations of their
 * calls by workspace.
 */
export class GrantedSlots {
  private readonly counts = new Map<string, number>();

  private readonly seconds = new Map<string, number>();

  /** Records that a slot of a target is granted to a call with the given expected duration. */
  public grant(target: string, workspace: string, expectedMs: clock.Milliseconds): GrantedSlot {
    const expectedSeconds = expectedMs / MILLISECONDS_PER_SECOND;
    let isGranted = true;
    add(this.counts, target, 1);
    add(this.seconds, workspace, expectedSeconds);
    return {
      release: () => {
        if (!isGranted) return false;
        isGranted = false;
        add(this.counts, target, -1);
        add(this.seconds, workspace, -expectedSeconds);
        return true;
      },
    };
  }

  /** Number of granted slots of a target. */
  public count(target: string): number {
    return this.counts.get(target) ?? 0;
  }

  /** Expected service of the running calls of a workspace, in slot seconds. */
  public expectedSeconds(workspace: string): number {
    return this.seconds.get(workspace) ?? 0;
  }
}

function add(totals: Map<string, number>, name: string, amount: number): void {
  const total = (totals.get(name) ?? 0) + amount;
  // Sums of floating-point numbers may not return to exactly zero.
  if (total < Number.EPSILON * MILLISECONDS_PER_SECOND) totals.delete(name);
  else totals.set(name, total);
}
