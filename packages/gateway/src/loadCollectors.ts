import * as keyedLog from '@limpettack/keyed-log';
import type * as wire from '@limpettack/wire';

/** Maximum mean number of VMs that report to the same collector. */
const GROUP_SIZE = 64;

type Peer = Pick<wire.PeerIdentity, 'address' | 'name'>;

/** The VMs that may collect the reports of a VM. */
export interface LoadCollectors<Item extends Peer> {
  readonly groupCount: number;
  /** The members of the VM's group; the first one is the collector. */
  readonly ranked: readonly Item[];
}

/** Returns the VMs that may collect the reports of a VM, in the order in which it tries them. */
export function loadCollectors<Item extends Peer>(
  vm: string,
  members: readonly Item[],
): LoadCollectors<Item> {
  const groupCount = Math.max(1, Math.ceil(members.length / GROUP_SIZE));
  const group = keyedLog.partitionOf(vm, groupCount);
  const groupMembers = members.filter(
    ({ name }) => keyedLog.partitionOf(name, groupCount) === group,
  );
  const ranked = keyedLog.rankByRendezvous(
    `target-loads/${group}`,
    groupMembers,
    ({ name }) => name,
  );
  return { groupCount, ranked };
}
