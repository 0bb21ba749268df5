import type * as wire from '@limpettack/wire';
import * as partitionOf from './partitionOf.js';
import type { PartitionName } from './Types.js';

/** VMs of a failure domain that read a partition from the log; the others learn from them. */
const READERS_PER_DOMAIN = 2;

/** VMs of a failure domain that is too small for sharing to save calls of the log. */
const SMALL_DOMAIN = 4;

/** What a choice rests on. */
export interface ReaderChoice {
  readonly partition: PartitionName;
  readonly self: wire.PeerIdentity;
  readonly available: readonly wire.PeerIdentity[];
}

/**
 * Chooses the peers that a VM learns a partition from, the preferred one first; none where it reads
 * the log itself. Load pattern: hundreds of VMs that all follow the same busy partitions would make
 * calls and move bytes in proportion to their number; so only a few of each failure domain read,
 * and the others ask those near them. Rendezvous hashing spreads partitions over the VMs of a domain
 * and those that ask over the readers.
 */
export function chooseReaders({ available, partition, self }: ReaderChoice): wire.PeerIdentity[] {
  const near = available.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  if (near.length <= SMALL_DOMAIN) return [];
  const key = `${partition.topic}/${partition.partition}`;
  const readers = partitionOf
    .rankByRendezvous(key, near, ({ name }) => name)
    .slice(0, READERS_PER_DOMAIN);
  if (readers.some(({ name }) => name === self.name)) return [];
  return partitionOf.rankByRendezvous(self.name, readers, ({ name }) => name);
}
