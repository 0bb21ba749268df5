import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as durabilities from './Durabilities.js';

/** How durably a record is stored. */
export type Durability = (typeof durabilities.DURABILITIES)[keyof typeof durabilities.DURABILITIES];

/** The holders of a shard according to a claim. */
export interface Ownership {
  readonly shard: number;
  /** Increases by one with each valid claim; 0 while no process has claimed the shard. */
  readonly epoch: number;
  readonly owner: ShardHolder;
  /** Absent when the claim names no standby. */
  readonly standby?: ShardHolder;
}

/** A process that holds a shard as its owner or standby. */
export interface ShardHolder {
  readonly name: string;
  readonly incarnation: string;
  readonly address: string;
}

/** The offset and epoch at which a record was accepted. */
export interface RecordPosition {
  /** The offset in the stream; -1 for a record that is replicated but not in the log yet. */
  readonly offset: number;
  readonly epoch: number;
  /** Age of the record when it was read, in milliseconds. */
  readonly ageMs: clock.Milliseconds;
}

/**
 * Computes the state of a shard from its records. Every reader applies the same records in the same
 * order and therefore reaches the same state. The functions modify the state in place and never
 * fail.
 */
export interface ShardFold<State, Body> {
  readonly body: zod.ZodType<Body>;
  createState(): State;
  apply(state: State, body: Body, position: RecordPosition): void;
  /** Called for each valid claim. `handedOver` is true if the earlier owner released the shard. */
  applyClaim(state: State, ownership: Ownership, handedOver: boolean): void;
  /**
   * Returns the bodies to append again because their records, those below the offset
   * `expiringBelow`, are about to expire.
   */
  renew(state: State, expiringBelow: number): readonly Body[];
}

/** Confirms that a record was accepted. */
export interface AppendReceipt {
  readonly durability: Durability;
  /** The offset in the stream; -1 when the record is only replicated. */
  readonly offset: number;
  readonly epoch: number;
}

/** Options of an append. */
export interface AppendOptions {
  /**
   * If true, the append succeeds while the log is down once the standby holds the record. If false,
   * it is refused with `log-unavailable` instead.
   */
  readonly replicateInOutage: boolean;
}

/** A shard that this process owns. */
export interface OwnedShard<State> {
  readonly ownership: Ownership;
  /** The state after the last accepted record. Read-only; append records to change it. */
  readonly state: State;
  /**
   * True when records that may still be needed had expired before they were read, so that the state
   * lacks them.
   */
  readonly hasGap: boolean;
}

/** A gap: records of a shard that expired before this process could read them. */
export interface ShardGap {
  readonly shard: number;
  /** The first offset after the gap. */
  readonly firstOffset: number;
}

/** Numbers of records read since the start of the process, by outcome. */
export interface ReadCounts {
  readonly bodies: number;
  /** Records of writers that were not the owner. */
  readonly voids: number;
  readonly repeats: number;
  readonly unknownKinds: number;
  readonly malformed: number;
  readonly gaps: number;
}

/** Notified of the claims that this process makes before any process can read them. */
export interface ClaimListener {
  /** Called synchronously before each append of a claim. */
  beforeClaim(shard: number): void;
  /** Called when it is certain that an announced claim will never be in the log. */
  claimAbandoned(shard: number): void;
}

/** The shards of the installation: their ownership, and appends to those owned here. */
export interface Journal<State, Body> extends lifetime.Disposable {
  readonly shardCount: number;
  /** Returns the shard of a key, which is the same on every VM. */
  shardOf(key: string): number;
  /** Returns the latest known claim, which may be outdated if another process owns the shard. */
  ownership(shard: number): Ownership | undefined;
  /** Stores a claim that a peer has read, if it is later than the known one. */
  learn(ownership: Ownership): void;
  /** Returns the shard if this process owns it and has replayed its records. */
  owned(shard: number): OwnedShard<State> | undefined;
  /** Whether the latest known claim of the shard names this process as standby. */
  isStandby(shard: number): boolean;
  /** Fires when this process owns a shard and has replayed its records. */
  readonly onOwned: lifetime.Event<OwnedShard<State>>;
  /** Fires with the shard when this process no longer owns it. */
  readonly onLost: lifetime.Event<number>;
  /** Fires when records of a shard expired before this process read them. */
  readonly onGap: lifetime.Event<ShardGap>;
  /** Returns the numbers of records read so far, for metrics. */
  readCounts(): ReadCounts;
  /** Fires when any shard's latest known claim changes. */
  readonly onOwnershipChange: lifetime.Event<Ownership>;
  /** Resolves when the record is accepted. Faults: `not-owner`, `log-unavailable`. */
  append(
    shard: number,
    body: Body,
    options: AppendOptions,
  ): Promise<trueMyth.Result<AppendReceipt, errors.Fault>>;
  /**
   * Confirms that this process owned the shard at some time within the last `freshnessMs`. Asks the
   * standby or the log if the last confirmation is older; zero always asks. Faults: `not-owner`.
   */
  confirmAuthority(
    shard: number,
    freshnessMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<Ownership, errors.Fault>>;
  /** Whether the log is available, as far as this process knows. */
  isLogAvailable(): boolean;
  /** Hands all shards over to other VMs. Resolves when done or when the timeout expires. */
  handOver(timeoutMs: clock.Milliseconds): Promise<void>;
}
