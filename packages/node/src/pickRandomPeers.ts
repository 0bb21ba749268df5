import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';

/** Picks up to `count` available peers at random, without this process. */
export function pickRandomPeers(
  members: Pick<membership.Membership, 'available'>,
  self: wire.PeerIdentity,
  count: number,
  random: () => number,
): readonly membership.Member[] {
  const others = members.available().filter((member) => member.name !== self.name);
  const picked: membership.Member[] = [];
  while (picked.length < count && others.length > 0) {
    const index = Math.floor(random() * others.length);
    picked.push(...others.splice(index, 1));
  }
  return picked;
}
