import * as crypto from 'node:crypto';

/** With fewer other members than this, each member probes all others. */
const MINIMUM_RING_SIZE = 16;

/** Number of bytes of a name's digest that determine its position on the ring. */
const POSITION_BYTES = 6;

const positions = new Map<string, number>();

/** Maximum number of cached positions. The cache is cleared when it is full. */
const MAXIMUM_CACHED_POSITIONS = 4_096;

/** An object with a name. */
export interface Named {
  readonly name: string;
}

/**
 * Chooses the members that a member probes. On a ring ordered by a digest of the names, these
 * follow the member at distances 1, 2, 4 and so on. With random probing in a fleet of hundreds of
 * VMs, each VM would open a link to every other one. With this choice a member has links to about
 * 2 * log2(fleet size) others: it probes half of them and is probed by the rest. Updates still
 * reach all members in log2(fleet size) steps.
 */
export function chooseNeighbours<Member extends Named>(
  self: Named,
  others: readonly Member[],
): readonly Member[] {
  if (others.length < MINIMUM_RING_SIZE) return others;
  const ownPosition = positionOf(self.name);
  const ring = others
    .map((member) => ({ member, position: positionOf(member.name) }))
    .sort((left, right) => left.position - right.position);
  const start = ring.findIndex(({ position }) => position > ownPosition);
  const first = start < 0 ? 0 : start;
  const chosen: Member[] = [];
  for (let distance = 1; distance <= ring.length; distance *= 2) {
    chosen.push(ring[(first + distance - 1) % ring.length]!.member);
  }
  return chosen;
}

/** Returns a name's position on the ring. It is deterministic, so all members see the same ring. */
function positionOf(name: string): number {
  const known = positions.get(name);
  if (known !== undefined) return known;
  if (positions.size >= MAXIMUM_CACHED_POSITIONS) positions.clear();
  const digest = crypto.createHash('sha1').update(name).digest();
  const position = digest.readUIntBE(0, POSITION_BYTES);
  positions.set(name, position);
  return position;
}
