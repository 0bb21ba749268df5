import type * as clock from '@limpettack/clock';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as peerMethods from './peerMethods.js';
import * as rankMembers from './rankMembers.js';
import type * as shardSlot from './ShardSlot.js';

const OFFER_TIMEOUT_MS = 500;
const POLL_MS = 20;

/** The properties and methods of a slot that a handover uses. */
export type ReleasableShard = Pick<
  shardSlot.ShardSlot<unknown, unknown>,
  'shard' | 'owned' | 'isOwner' | 'released' | 'ownership' | 'release'
>;

/** Dependencies of a handover. */
export interface HandOverDependencies {
  readonly network: wire.PeerNetwork;
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
  readonly hash: rankMembers.HashText;
}

/**
 * Releases all owned shards, each to its standby or otherwise to the best-ranked other VM. Resolves
 * when others have claimed them or the timeout expires. No shard can be released while the log is
 * down.
 */
export async function handOverShards(
  slots: readonly ReleasableShard[],
  timeoutMs: clock.Milliseconds,
  dependencies: HandOverDependencies,
): Promise<void> {
  const { clock: clockSource } = dependencies;
  const timeout = new AbortController();
  const timer = clockSource.sleep(timeoutMs, timeout.signal).then(() => timeout.abort());
  const owned = slots.filter((slot) => slot.isOwner);
  const all = Promise.all(owned.map((slot) => handOver(slot, dependencies, timeout.signal)));
  await Promise.race([all, timer]);
  timeout.abort();
}

async function handOver(
  slot: ReleasableShard,
  dependencies: HandOverDependencies,
  signal: AbortSignal,
): Promise<void> {
  const successor = pickSuccessor(slot, dependencies);
  // Without a successor the shard is kept, and the next process claims it once this one has ended.
  if (successor === undefined) return;
  const { shard } = slot;
  const { network, clock: clockSource } = dependencies;
  while (slot.isOwner && !signal.aborted) {
    if (!(await slot.release(successor.name))) await clockSource.sleep(POLL_MS, signal);
  }
  const offer = { shard, epoch: slot.ownership?.epoch ?? 0 };
  const options = { timeoutMs: OFFER_TIMEOUT_MS };
  await network.request(successor.address, peerMethods.offer, offer, options);
  while (slot.released && !signal.aborted) await clockSource.sleep(POLL_MS, signal);
}

function pickSuccessor(
  slot: ReleasableShard,
  { membership: members, hash }: HandOverDependencies,
): membership.Member | undefined {
  const { self } = members;
  const others = members.available().filter((member) => member.name !== self.name);
  const standby = others.find((member) => member.name === slot.ownership?.standby?.name);
  return standby ?? rankMembers.pickStandby(slot.shard, self, others, hash);
}
