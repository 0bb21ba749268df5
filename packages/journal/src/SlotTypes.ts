import type * as ownerTerm from './OwnerTerm.js';
import type * as pauseDetector from './PauseDetector.js';
import type { ReadOutcome } from './ShardReader.js';
import type * as shardStream from './ShardStream.js';
import type { ClaimListener, OwnedShard, Ownership } from './Types.js';

/** Dependencies of a slot. */
export interface SlotDependencies<State, Body>
  extends shardStream.StreamDependencies<State, Body>, ownerTerm.OwnerDependencies<State, Body> {
  readonly pauses: pauseDetector.PauseDetector;
  readonly claimListener?: ClaimListener | undefined;
}

/** Callbacks by which a slot notifies the journal. */
export interface SlotListener<State, Body> {
  onOwned(owned: OwnedShard<State>): void;
  onLost(shard: number): void;
  onOwnership(ownership: Ownership): void;
  onGap(shard: number, firstOffset: number): void;
  onRecord(shard: number, outcome: ReadOutcome<Body>): void;
}
