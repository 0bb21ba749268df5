const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Number of different hashes. */
const HASH_COUNT = 2 ** 32;

/** Returns a 32-bit FNV-1a hash of a text, which is the same in every process. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV hardly mixes the high bits of short texts, so a finalizer mixes them once more.
  // eslint-disable-next-line no-bitwise
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  // eslint-disable-next-line no-bitwise
  return (hash ^ (hash >>> 13)) >>> 0;
}

/** Returns the partition that a key belongs to. */
export function partitionOf(key: string, partitionCount: number): number {
  return hashText(key) % partitionCount;
}

/** Orders items by rendezvous hashing for a key: the first is the owner, the next its successor. */
export function rankByRendezvous<Item>(
  key: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Item[] {
  return items
    .map((item) => ({ item, rank: hashText(`${nameOf(item)}/${key}`) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ item }) => item);
}

/**
 * Orders items by weighted rendezvous hashing for a key: an item is first for a share of the keys
 * that is proportional to its weight, and a change of its weight moves only keys from or to it. The
 * order is that of `rankByRendezvous` if all weights are equal. Weights must be positive.
 */
export function rankByWeightedRendezvous<Item>(
  key: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
  weightOf: (item: Item) => number,
): Item[] {
  return items
    .map((item) => {
      // Half a step is added, because the logarithm needs a number strictly between 0 and 1.
      const uniform = (hashText(`${nameOf(item)}/${key}`) + 0.5) / HASH_COUNT;
      return { item, rank: -weightOf(item) / Math.log(uniform) };
    })
    .sort((left, right) => right.rank - left.rank)
    .map(({ item }) => item);
}
