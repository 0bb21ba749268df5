import type { HeldEntry, Holder } from './messages.js';

/** What holders of earlier epochs may still grant, and so must be left out of the buckets. */
export class HeldAmounts {
  private list: readonly HeldEntry[];

  public constructor(entries: readonly HeldEntry[]) {
    this.list = entries;
  }

  public get entries(): readonly HeldEntry[] {
    return this.list;
  }

  /** Whether some holder's grants have no known bound. */
  public get isUnlimited(): boolean {
    return this.list.some((entry) => entry.unlimited);
  }

  /** Tokens of a workspace that may still be granted by others; infinite without a bound. */
  public of(workspace: string): number {
    if (this.isUnlimited) return Number.POSITIVE_INFINITY;
    return this.list
      .flatMap((entry) => entry.amounts)
      .filter((amount) => amount.workspace === workspace)
      .reduce((sum, amount) => sum + amount.tokens, 0);
  }

  /** Drops the entries of a holder. */
  public drop(holder: Holder): void {
    this.list = this.list.filter((entry) => !isSameHolder(entry.holder, holder));
  }
}

/** Whether both are the same process. */
export function isSameHolder(left: Omit<Holder, 'address'>, right: Omit<Holder, 'address'>) {
  return left.name === right.name && left.incarnation === right.incarnation;
}

/** An entry for a holder whose grants have no known bound. */
export function createUnlimitedEntry(holder: Holder, epoch: number): HeldEntry {
  return { holder, epoch, unlimited: true, amounts: [] };
}

/** An entry for a holder that can grant nothing, but has to acknowledge all the same. */
export function createEmptyEntry(holder: Holder, epoch: number): HeldEntry {
  return { holder, epoch, unlimited: false, amounts: [] };
}
