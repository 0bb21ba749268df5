import type * as wire from '@limpettack/wire';
import * as partitionOf from './partitionOf.js';

/** Number of VMs of a failure domain that read the log. The others read through them. */
const READERS_PER_DOMAIN = 2;

/** Hash key of the choice: the same for all partitions, so that a VM reads them over one link. */
const READERS_KEY = 'readers';

/** All VMs of a failure domain up to this size read the log: sharing would hardly save calls. */
const SMALL_DOMAIN_SIZE = 4;

/** Input of `chooseReaders`. */
export interface ReaderChoice {
  readonly self: wire.PeerIdentity;
  readonly available: readonly wire.PeerIdentity[];
}

/**
 * Returns the peers through which a VM reads followed partitions, the preferred one first. The list
 * is empty if the VM reads the log itself.
 *
 * If hundreds of VMs read the same busy partitions from the log, its calls and bytes grow with the
 * number of VMs. So only a few VMs of each failure domain read the log, and the others read through
 * them.
 * Rendezvous hashing changes few of these assignments when VMs join or leave.
 */
export function chooseReaders({ available, self }: ReaderChoice): wire.PeerIdentity[] {
  const sameDomain = available.filter(({ failureDomain }) => failureDomain === self.failureDomain);
  if (sameDomain.length <= SMALL_DOMAIN_SIZE) return [];
  const readers = partitionOf
    .rankByRendezvous(READERS_KEY, sameDomain, ({ name }) => name)
    .slice(0, READERS_PER_DOMAIN);
  if (readers.some(({ name }) => name === self.name)) return [];
  return partitionOf.rankByRendezvous(self.name, readers, ({ name }) => name);
}
