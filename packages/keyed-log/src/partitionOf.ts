const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

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
