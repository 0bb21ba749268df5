import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as durabilities from './Durabilities.js';

/** How safe a record is. */
export type Durability = (typeof durabilities.DURABILITIES)[keyof typeof durabilities.DURABILITIES];

/** Who holds a shard, as its latest known claim says. */
export interface Ownership {
  readonly shard: number;
  /** Grows by one with each valid claim; 0 says that nobody has claimed the shard yet. */
  readonly epoch: number;
  readonly owner: ShardHolder;
  /** Absent when the claim named none. */
  readonly standby?: ShardHolder;
}

/** A process that holds a shard as its owner or standby. */
export interface ShardHolder {
  readonly name: string;
  readonly incarnation: string;
  readonly address: string;
}

/** Where and under which epoch a record counted. */
export interface RecordPosition {
  /** The offset in the stream; -1 for a record that is replicated and not journaled yet. */
  readonly offset: number;
  readonly epoch: number;
  /** Age at the reading, in milliseconds. */
  readonly ageMs: clock.Milliseconds;
}

/**
 * How the records of a shard make its state. Every reader applies the same records in the same
 * order and so reaches the same state. The functions change the state in place and never fail.
 */
export interface ShardFold<State, Body> {
  readonly body: zod.ZodType<Body>;
  createState(): State;
  apply(state: State, body: Body, position: RecordPosition): void;
  /** Called for each valid claim; `handedOver` says that the earlier owner released the shard. */
  applyClaim(state: State, ownership: Ownership, handedOver: boolean): void;
  /**
   * Bodies to append again because the records they replace are about to expire. Given is the
   * offset below which records are about to be lost.
   */
  renew(state: State, expiringBelow: number): readonly Body[];
}

/** How a record counted. */
export interface AppendReceipt {
  readonly durability: Durability;
  /** The offset; -1 when only replicated. */
  readonly offset: number;
  readonly epoch: number;
}

/** What an append asks for. */
export interface AppendOptions {
  /**
   * True lets the record count once the standby holds it while the log is down. False refuses
   * with `log-unavailable` instead.
   */
  readonly replicateInOutage: boolean;
}

/** A shard that this process owns. */
export interface OwnedShard<State> {
  readonly ownership: Ownership;
  /** The state as of the last record that counted. Read only; append records to change it. */
  readonly state: State;
  /**
   * True when records that may still matter had expired before they were read. The state lacks
   * them then.
   */
  readonly hasGap: boolean;
}

/** Records of a shard expired before this process could read them. */
export interface ShardGap {
  readonly shard: number;
  /** The first offset that could be read. */
  readonly firstOffset: number;
}

/** What was read, in numbers of records since the start of the process. */
export interface ReadCounts {
  readonly bodies: number;
  /** Of writers that were not the owner. */
  readonly voids: number;
  readonly repeats: number;
  readonly unknownKinds: number;
  readonly malformed: number;
  readonly gaps: number;
}

/** Hears of the claims that this process makes, before anyone can read them. */
export interface ClaimListener {
  /** Called right before each append of a claim, with no wait in between. */
  beforeClaim(shard: number): void;
  /** Called when it is certain that an announced claim is not and will not be in the log. */
  claimAbandoned(shard: number): void;
}

/** The shards of the installation: who owns them, and appends to those owned here. */
export interface Journal<State, Body> extends lifetime.Disposable {
  readonly shardCount: number;
  /** The shard of a key, the same on every VM. */
  shardOf(key: string): number;
  /** The latest claim known here; a hint when another process owns the shard. */
  ownership(shard: number): Ownership | undefined;
  /** Tells this process of a claim that a peer has seen. */
  learn(ownership: Ownership): void;
  /** The shard when this process owns it and has replayed it. */
  owned(shard: number): OwnedShard<State> | undefined;
  /** Shards whose claim names this process as standby. */
  isStandby(shard: number): boolean;
  /** Fires when this process owns a shard and has replayed it. */
  readonly onOwned: lifetime.Event<OwnedShard<State>>;
  /** Fires with the shard when this process no longer owns it. */
  readonly onLost: lifetime.Event<number>;
  /** Fires when records of a shard expired before this process read them. */
  readonly onGap: lifetime.Event<ShardGap>;
  /** What was read so far, for metrics. */
  readCounts(): ReadCounts;
  /** Fires when any shard's latest known claim changes. */
  readonly onOwnershipChange: lifetime.Event<Ownership>;
  /** Resolves when the record counts. Faults: `not-owner`, `log-unavailable`. */
  append(
    shard: number,
    body: Body,
    options: AppendOptions,
  ): Promise<trueMyth.Result<AppendReceipt, errors.Fault>>;
  /**
   * Makes sure that this process still owned the shard at most `freshnessMs` ago, and asks the
   * standby or the log when it does not know. Zero always asks. Faults: `not-owner`.
   */
  confirmAuthority(
    shard: number,
    freshnessMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<Ownership, errors.Fault>>;
  /** Whether the last call of the log succeeded. */
  isLogAvailable(): boolean;
  /** Hands all shards over to other VMs. Resolves when it is done or the time is up. */
  handOver(timeoutMs: clock.Milliseconds): Promise<void>;
}
