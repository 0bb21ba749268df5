import * as jestGlobals from '@jest/globals';
import * as claimSupervisor from './ClaimSupervisor.js';

const { expect, test } = jestGlobals;

const SHARDS = 400;
const OWNED = 7;
const TICKS_PER_ROUND = 10;

/** Creates a slot that counts its checks and has a claim in progress, so nothing else happens. */
function createSlot(shard: number, checks: number[]): claimSupervisor.ClaimableShard {
  const slot: Partial<claimSupervisor.ClaimableShard> = {
    shard,
    isOwner: shard === OWNED,
    isStandby: false,
    released: false,
    claiming: true,
    stopFollowingIfUnneeded: () => {
      checks[shard] = (checks[shard] ?? 0) + 1;
    },
  };
  return slot as claimSupervisor.ClaimableShard;
}

test('checks held shards in each tick and every other shard once a second', () => {
  const checks: number[] = [];
  const slots = Array.from({ length: SHARDS }, (_, shard) => createSlot(shard, checks));
  const status = { available: true };
  const supervisor = new claimSupervisor.ClaimSupervisor(slots, {
    status,
  } as claimSupervisor.SupervisorDependencies);
  for (let tick = 0; tick < TICKS_PER_ROUND; tick += 1) supervisor.superviseAll();
  const others = checks.filter((_, shard) => shard !== OWNED);
  expect(checks[OWNED]).toBe(TICKS_PER_ROUND);
  expect(others).toHaveLength(SHARDS - 1);
  expect(others.every((count) => count === 1)).toBe(true);
});
