/** The peer messages that VM processes exchange about limits. */
import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const COUNT = zod.int().min(0);
const TOKENS = zod.number().min(0);
const SHARD = COUNT;
const EPOCH = COUNT;

const HOLDER = zod.object({
  name: zod.string(),
  incarnation: zod.string(),
  address: zod.string(),
});

/** A process that is the owner or the standby of a shard. */
export type Holder = zod.infer<typeof HOLDER>;

const OWNERSHIP = zod.object({
  shard: SHARD,
  epoch: EPOCH,
  owner: HOLDER,
  standby: HOLDER.optional(),
});

const HELD_ENTRY = zod.object({
  holder: HOLDER,
  /** The epoch in which the holder may still grant. */
  epoch: EPOCH,
  /** True when there is no known bound on what the holder may still grant. */
  unlimited: zod.boolean(),
  amounts: zod.array(zod.object({ workspace: zod.string(), tokens: TOKENS })),
});

/** The tokens that a holder of an earlier epoch may still grant. */
export type UnreleasedEntry = zod.infer<typeof HELD_ENTRY>;

const SHARD_STATE = zod.object({
  /** The epoch that the state belongs to. */
  epoch: EPOCH,
  buckets: zod.array(zod.object({ workspace: zod.string(), level: TOKENS })),
  held: zod.array(HELD_ENTRY),
  /**
   * How long ago the buckets that are not listed were empty, in milliseconds. Absent if they are
   * full.
   */
  emptyForMs: TOKENS.optional(),
});

/** The buckets of a shard, as handed over to the next owner. */
export type ShardState = zod.infer<typeof SHARD_STATE>;

const REPLICATED_BUCKET = zod.object({
  workspace: zod.string(),
  /** Tokens left, not including the authorized ones. */
  level: TOKENS,
  /** Tokens that the owner may grant, in total since the start of the epoch. */
  authorized: COUNT,
  /** Tokens that the owner has granted, in total since the start of the epoch. */
  granted: COUNT,
});

export type ReplicatedBucket = zod.infer<typeof REPLICATED_BUCKET>;

const REPLICATE_REQUEST = zod.object({
  shard: SHARD,
  epoch: EPOCH,
  /** Increases with each message of the owner in the epoch. */
  sequence: COUNT,
  owner: HOLDER,
  standby: HOLDER,
  /** Whether all buckets are listed. A standby first needs such a message. */
  complete: zod.boolean(),
  buckets: zod.array(REPLICATED_BUCKET),
  held: zod.array(HELD_ENTRY),
  emptyForMs: TOKENS.optional(),
});
const REPLICATE_RESPONSE = zod.object({
  accepted: zod.boolean(),
  /** The latest epoch of the shard that the standby knows. */
  knownEpoch: EPOCH,
  /** Whether the standby has all buckets of this epoch. */
  isComplete: zod.boolean(),
  /** The authorized tokens that the standby has recorded, for the buckets of the request. */
  authorized: zod.array(zod.object({ workspace: zod.string(), tokens: COUNT })),
});

export type ReplicateRequest = zod.infer<typeof REPLICATE_REQUEST>;
export type ReplicateResponse = zod.infer<typeof REPLICATE_RESPONSE>;

/** The owner asks the standby to record tokens as authorized. */
export const REPLICATE: wire.PeerMethod<ReplicateRequest, ReplicateResponse> = {
  name: 'limits.replicate',
  request: REPLICATE_REQUEST,
  response: REPLICATE_RESPONSE,
};

const RELEASE_REQUEST = zod.object({
  shard: SHARD,
  epoch: EPOCH,
  /** The claim of the new owner, for receivers that have not read it yet. */
  ownership: OWNERSHIP.optional(),
});
const RELEASE_RESPONSE = zod.object({
  name: zod.string(),
  incarnation: zod.string(),
  knownEpoch: EPOCH,
  /** The state of the preceding epoch, when the process has it. */
  state: SHARD_STATE.optional(),
});

export type ReleaseRequest = zod.infer<typeof RELEASE_REQUEST>;
export type ReleaseResponse = zod.infer<typeof RELEASE_RESPONSE>;

/** A new owner asks an earlier holder to stop granting in all earlier epochs, permanently. */
export const RELEASE: wire.PeerMethod<ReleaseRequest, ReleaseResponse> = {
  name: 'limits.release',
  request: RELEASE_REQUEST,
  response: RELEASE_RESPONSE,
};

const SOLO_REQUEST = zod.object({ shard: SHARD, epoch: EPOCH, holder: HOLDER });
const SOLO_RESPONSE = zod.object({ accepted: zod.boolean(), knownEpoch: EPOCH });

export type SoloRequest = zod.infer<typeof SOLO_REQUEST>;
export type SoloResponse = zod.infer<typeof SOLO_RESPONSE>;

/**
 * While the log is unavailable, the survivor of an owner and its standby asks each member to agree
 * that it continues in solo mode, without its partner.
 */
export const SOLO: wire.PeerMethod<SoloRequest, SoloResponse> = {
  name: 'limits.alone',
  request: SOLO_REQUEST,
  response: SOLO_RESPONSE,
};

/** The results of a request for admission, as returned by the process that was asked. */
export const GRANT_RESULT_KINDS = {
  GRANTED: 'granted',
  REFUSED: 'refused',
  /** Not decided yet. The requester retries with the same id. */
  PENDING: 'pending',
  NOT_OWNER: 'not-owner',
} as const;

const GRANT_RESULT = zod.object({
  kind: zod.enum(GRANT_RESULT_KINDS),
  /** Time until a token is available, in milliseconds; set when refused. */
  retryAfterMs: TOKENS.optional(),
  /** The latest claim that the process knows; may be set when it is not the owner. */
  ownership: OWNERSHIP.optional(),
});
const GRANT_ITEM = zod.object({
  requestId: zod.string(),
  workspace: zod.string(),
  timeoutMs: TOKENS,
});

export type GrantItem = zod.infer<typeof GRANT_ITEM>;
export type GrantResult = zod.infer<typeof GRANT_RESULT>;

/** The requests of one event loop iteration to one peer. */
export interface GrantRequest {
  readonly items: GrantItem[];
}

/** The results, in the order of the requests. */
export interface GrantResponse {
  readonly answers: GrantResult[];
}

/** Asks the owner of buckets to admit requests. */
export const GRANT: wire.PeerMethod<GrantRequest, GrantResponse> = {
  name: 'limits.grant',
  request: zod.object({ items: zod.array(GRANT_ITEM) }),
  response: zod.object({ answers: zod.array(GRANT_RESULT) }),
};
