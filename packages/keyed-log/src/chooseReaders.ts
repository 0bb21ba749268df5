import type * as wire from '@limpettack/wire';
import * as partitionOf from './partitionOf.js';

/** VMs of a failure domain that read a partition from the log; the others learn from them. */
const READERS_PER_DOMAIN = 2;

/** One key for all partitions, so that a VM asks for all of them over one link. */
const READERS_KEY = 'readers';

/** VMs of a failure domain that is too small for sharing to save calls of the log. */
const SMALL_DOMAIN = 4;

/** What a choice rests on. */
export interface ReaderChoice {
  readonly self: wire.PeerIdentity;
  readonly available: readonly wire.PeerIdentity[];
}

/**
 * Chooses the peers that a VM learns followed partitions from, the preferred one first; none where it reads
 * the log itself. Load pattern: hundreds of VMs that all follow the same busy partitions would make
 * calls and move bytes in proportion to their number; so only a few of each failure domain read,
 * and the others ask those near them. Rendezvous hashing moves few of them when VMs come and go.
 */
export function chooseReaders({ available, self }: ReaderChoice): wire.PeerIdentity[] {
  const near = available.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  if (near.length <= SMALL_DOMAIN) return [];
  const readers = partitionOf
    .rankByRendezvous(READERS_KEY, near, ({ name }) => name)
    .slice(0, READERS_PER_DOMAIN);
  if (readers.some(({ name }) => name === self.name)) return [];
  return partitionOf.rankByRendezvous(self.name, readers, ({ name }) => name);
}
