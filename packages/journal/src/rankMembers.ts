import type * as membership from '@limpettack/membership';

/** Hashes a text to an integer, which is the same on every VM. */
export type HashText = (text: string) => number;

/** Orders the members by rendezvous hashing. Every VM computes the same order for a shard. */
export function rankMembers(
  shard: number,
  members: readonly membership.Member[],
  hash: HashText,
): membership.Member[] {
  const weighted = members.map((member) => ({ member, weight: hash(`${shard}/${member.name}`) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.member.name < b.member.name ? -1 : 1));
  return weighted.map(({ member }) => member);
}

/**
 * Returns the best-ranked member outside the owner's failure domain. If there is none, returns the
 * best-ranked member other than the owner.
 */
export function pickStandby(
  shard: number,
  owner: Pick<membership.Member, 'name' | 'failureDomain'>,
  members: readonly membership.Member[],
  hash: HashText,
): membership.Member | undefined {
  const others = members.filter((member) => member.name !== owner.name);
  const ranked = rankMembers(shard, others, hash);
  return ranked.find((member) => member.failureDomain !== owner.failureDomain) ?? ranked[0];
}
