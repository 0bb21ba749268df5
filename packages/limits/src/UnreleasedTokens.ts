import type { UnreleasedEntry, Holder } from './messages.js';

/** Tokens that holders of earlier epochs may still grant. The buckets must not contain them. */
export class UnreleasedTokens {
  private list: readonly UnreleasedEntry[];

  public constructor(entries: readonly UnreleasedEntry[]) {
    this.list = entries;
  }

  public get entries(): readonly UnreleasedEntry[] {
    return this.list;
  }

  /** Whether there is a holder whose grants have no known bound. */
  public get isUnlimited(): boolean {
    return this.list.some((entry) => entry.unlimited);
  }

  /** Returns a workspace's tokens that others may still grant; infinite if there is no bound. */
  public tokensOf(workspace: string): number {
    if (this.isUnlimited) return Number.POSITIVE_INFINITY;
    return this.list
      .flatMap((entry) => entry.amounts)
      .filter((amount) => amount.workspace === workspace)
      .reduce((sum, amount) => sum + amount.tokens, 0);
  }

  /** Removes the entries of a holder. */
  public remove(holder: Holder): void {
    this.list = this.list.filter((entry) => !isSameHolder(entry.holder, holder));
  }
}

/** Returns whether both are the same process. */
export function isSameHolder(left: Omit<Holder, 'address'>, right: Omit<Holder, 'address'>) {
  return left.name === right.name && left.incarnation === right.incarnation;
}

/** Creates an entry for a holder whose grants have no known bound. */
export function createUnlimitedEntry(holder: Holder, epoch: number): UnreleasedEntry {
  return { holder, epoch, unlimited: true, amounts: [] };
}

/** Creates an entry for a holder that can grant nothing but must still acknowledge its release. */
export function createEmptyEntry(holder: Holder, epoch: number): UnreleasedEntry {
  return { holder, epoch, unlimited: false, amounts: [] };
}
