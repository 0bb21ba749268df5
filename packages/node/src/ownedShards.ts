import type * as journal from '@limpettack/journal';
import type * as programs from '@limpettack/programs';
import type { Shards } from './VmContext.js';

/** The shards that this process owns now. */
export function ownedShards(shards: Shards): journal.OwnedShard<programs.ShardState>[] {
  return Array.from({ length: shards.shardCount }, (_, shard) => shards.owned(shard)).filter(
    (owned) => owned !== undefined,
  );
}
