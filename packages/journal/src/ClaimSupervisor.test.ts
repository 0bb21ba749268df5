import * as jestGlobals from '@jest/globals';
import * as claimSupervisor from './ClaimSupervisor.js';

const { expect, test } = jestGlobals;

const SHARDS = 400;
const OWNED = 7;
const TICKS_PER_TURN = 10;

/** A shard that another process holds and that has nothing to do. */
function createSlot(shard: number, looks: number[]): claimSupervisor.ClaimableShard {
  const slot: Partial<claimSupervisor.ClaimableShard> = {
    shard,
    isOwner: shard === OWNED,
    isStandby: false,
    released: false,
    claiming: true,
    leaveUnlessHeld: () => {
      looks[shard] = (looks[shard] ?? 0) + 1;
    },
  };
  return slot as claimSupervisor.ClaimableShard;
}

test('looks at held shards in each tick and at each other shard once a second', () => {
  const looks: number[] = [];
  const slots = Array.from({ length: SHARDS }, (_, shard) => createSlot(shard, looks));
  const status = { available: true };
  const supervisor = new claimSupervisor.ClaimSupervisor(slots, {
    status,
  } as claimSupervisor.SupervisorCollaborators);
  for (let tick = 0; tick < TICKS_PER_TURN; tick += 1) supervisor.superviseAll();
  const others = looks.filter((_, shard) => shard !== OWNED);
  expect(looks[OWNED]).toBe(TICKS_PER_TURN);
  expect(others).toHaveLength(SHARDS - 1);
  expect(others.every((count) => count === 1)).toBe(true);
});
