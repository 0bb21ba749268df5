import * as crypto from 'node:crypto';

/** In a fleet of so few members each probes all others. */
const SMALL_FLEET = 16;

/** Bytes of a name's digest that give its place on the ring. */
const PLACE_BYTES = 6;

const places = new Map<string, number>();

/** Places that are remembered; names beyond are computed anew. */
const PLACES_KEPT = 4_096;

/** What has a name. */
export interface Named {
  readonly name: string;
}

/**
 * Chooses the members that one probes: on a ring ordered by a digest of the names, those at the
 * distances 1, 2, 4 and so on behind it. Load pattern: hundreds of VMs, of which each would open a
 * link to each other one if it probed at random. With this choice a member has about twice the
 * logarithm of the fleet's size in links, is probed by as many others, and news still reaches all in
 * so many steps.
 */
export function chooseNeighbours<Member extends Named>(
  self: Named,
  others: readonly Member[],
): readonly Member[] {
  if (others.length < SMALL_FLEET) return others;
  const own = placeOf(self.name);
  const ring = others
    .map((member) => ({ member, place: placeOf(member.name) }))
    .sort((left, right) => left.place - right.place);
  const start = ring.findIndex(({ place }) => place > own);
  const first = start < 0 ? 0 : start;
  const chosen: Member[] = [];
  for (let distance = 1; distance <= ring.length; distance *= 2) {
    chosen.push(ring[(first + distance - 1) % ring.length]!.member);
  }
  return chosen;
}

/** Not random over time, so that all members see the same ring. */
function placeOf(name: string): number {
  const known = places.get(name);
  if (known !== undefined) return known;
  if (places.size >= PLACES_KEPT) places.clear();
  const digest = crypto.createHash('sha1').update(name).digest();
  const place = digest.readUIntBE(0, PLACE_BYTES);
  places.set(name, place);
  return place;
}
