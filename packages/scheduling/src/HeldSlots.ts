import type * as clock from '@limpettack/clock';

const MILLISECONDS_PER_SECOND = 1_000;

/** A slot that is held until it is released. */
export interface HeldSlot {
  /** Releases the slot; false when it was released before. */
  release(): boolean;
}

/** Counts the slots that this process holds, by target, and the service expected of them. */
export class HeldSlots {
  private readonly counts = new Map<string, number>();

  private readonly seconds = new Map<string, number>();

  /** Holds a slot of a target for a call that is expected to take so long. */
  public hold(target: string, workspace: string, expectedMs: clock.Milliseconds): HeldSlot {
    const expectedSeconds = expectedMs / MILLISECONDS_PER_SECOND;
    let held = true;
    add(this.counts, target, 1);
    add(this.seconds, workspace, expectedSeconds);
    return {
      release: () => {
        if (!held) return false;
        held = false;
        add(this.counts, target, -1);
        add(this.seconds, workspace, -expectedSeconds);
        return true;
      },
    };
  }

  /** How many slots of a target are held. */
  public count(target: string): number {
    return this.counts.get(target) ?? 0;
  }

  /** Service that is expected of a workspace's running calls, in slot seconds. */
  public expectedSeconds(workspace: string): number {
    return this.seconds.get(workspace) ?? 0;
  }
}

function add(totals: Map<string, number>, name: string, amount: number): void {
  const total = (totals.get(name) ?? 0) + amount;
  // Sums of fractions do not come back to zero exactly.
  if (total < Number.EPSILON * MILLISECONDS_PER_SECOND) totals.delete(name);
  else totals.set(name, total);
}
