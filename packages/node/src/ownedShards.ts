import type * as journal from '@limpettack/journal';
import type * as programs from '@limpettack/programs';
import type { ProgramJournal } from './VmContext.js';

/** Returns the shards that this process currently owns. */
export function ownedShards(shards: ProgramJournal): journal.OwnedShard<programs.ShardState>[] {
  return Array.from({ length: shards.shardCount }, (_, shard) => shards.owned(shard)).filter(
    (owned) => owned !== undefined,
  );
}
