/** Of so many items in a row, one at least is backlogged if any is. */
const BACKLOGGED_INTERVAL = 4;

/**
 * Decides in which order items get their turn. Items that seldom need one go before those that have
 * used up theirs and need more, so that few busy items do not delay the others; but the busy ones are
 * not kept waiting for good.
 */
export class FairQueue<Item> {
  private readonly sparse = new Set<Item>();

  private readonly backlogged = new Set<Item>();

  private takenInRow = 0;

  /** Number of waiting items. */
  public get size(): number {
    return this.sparse.size + this.backlogged.size;
  }

  /** Adds an item that has not had a turn lately. */
  public addSparse(item: Item): void {
    this.sparse.add(item);
  }

  /** Adds an item that has just used up a turn. */
  public addBacklogged(item: Item): void {
    this.backlogged.add(item);
  }

  /** Whether an item waits. */
  public has(item: Item): boolean {
    return this.sparse.has(item) || this.backlogged.has(item);
  }

  /** Removes an item that needs no turn any more. */
  public remove(item: Item): void {
    this.sparse.delete(item);
    this.backlogged.delete(item);
  }

  /** Removes and returns the item whose turn it is. Undefined if none waits. */
  public take(): Item | undefined {
    const isSparseTurn = this.takenInRow < BACKLOGGED_INTERVAL - 1 || this.backlogged.size === 0;
    this.takenInRow = isSparseTurn ? this.takenInRow + 1 : 0;
    const [first, second] = isSparseTurn
      ? [this.sparse, this.backlogged]
      : [this.backlogged, this.sparse];
    return takeFirst(first) ?? takeFirst(second);
  }
}

function takeFirst<Item>(items: Set<Item>): Item | undefined {
  const [item] = items;
  if (item !== undefined) items.delete(item);
  return item;
}
