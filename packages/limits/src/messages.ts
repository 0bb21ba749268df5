/** The messages of the limits between VM processes. */
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

/** A process that owns, or is standby of, a shard. */
export type Holder = zod.infer<typeof HOLDER>;

const OWNERSHIP = zod.object({
  shard: SHARD,
  epoch: EPOCH,
  owner: HOLDER,
  standby: HOLDER.optional(),
});

const HELD_ENTRY = zod.object({
  holder: HOLDER,
  /** The epoch under which the holder may still grant. */
  epoch: EPOCH,
  /** True when nothing bounds what the holder may still grant. */
  unlimited: zod.boolean(),
  amounts: zod.array(zod.object({ workspace: zod.string(), tokens: TOKENS })),
});

/** What a holder of an earlier epoch may still grant. */
export type HeldEntry = zod.infer<typeof HELD_ENTRY>;

const SHARD_STATE = zod.object({
  /** The epoch that the state belongs to. */
  epoch: EPOCH,
  buckets: zod.array(zod.object({ workspace: zod.string(), level: TOKENS })),
  held: zod.array(HELD_ENTRY),
  /** Time since buckets that are not named were empty; absent when they are full. */
  emptyForMs: TOKENS.optional(),
});

/** The buckets of a shard as one process hands them to the next owner. */
export type ShardState = zod.infer<typeof SHARD_STATE>;

const REPLICATED_BUCKET = zod.object({
  workspace: zod.string(),
  /** Tokens left besides the authorized ones. */
  level: TOKENS,
  /** Tokens that the owner may grant, counted from the start of the epoch. */
  authorized: COUNT,
  /** Tokens that it has granted, counted from the start of the epoch. */
  granted: COUNT,
});

export type ReplicatedBucket = zod.infer<typeof REPLICATED_BUCKET>;

const REPLICATE_REQUEST = zod.object({
  shard: SHARD,
  epoch: EPOCH,
  /** Grows with each message of the owner in the epoch. */
  sequence: COUNT,
  owner: HOLDER,
  standby: HOLDER,
  /** Whether all buckets are named, which a standby needs first. */
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
  /** What the standby counts as held, for the buckets of the request. */
  authorized: zod.array(zod.object({ workspace: zod.string(), tokens: COUNT })),
});

export type ReplicateRequest = zod.infer<typeof REPLICATE_REQUEST>;
export type ReplicateResponse = zod.infer<typeof REPLICATE_RESPONSE>;

/** The owner asks the standby to count tokens as held. */
export const REPLICATE: wire.PeerMethod<ReplicateRequest, ReplicateResponse> = {
  name: 'limits.replicate',
  request: REPLICATE_REQUEST,
  response: REPLICATE_RESPONSE,
};

const RELEASE_REQUEST = zod.object({
  shard: SHARD,
  epoch: EPOCH,
  /** The claim, so that a process that has not read it yet knows whom to ask. */
  ownership: OWNERSHIP.optional(),
});
const RELEASE_RESPONSE = zod.object({
  name: zod.string(),
  incarnation: zod.string(),
  knownEpoch: EPOCH,
  /** The state of the epoch right before, when the process has it. */
  state: SHARD_STATE.optional(),
});

export type ReleaseRequest = zod.infer<typeof RELEASE_REQUEST>;
export type ReleaseResponse = zod.infer<typeof RELEASE_RESPONSE>;

/** A new owner asks an earlier holder to stop under all earlier epochs, for good. */
export const RELEASE: wire.PeerMethod<ReleaseRequest, ReleaseResponse> = {
  name: 'limits.release',
  request: RELEASE_REQUEST,
  response: RELEASE_RESPONSE,
};

const ALONE_REQUEST = zod.object({ shard: SHARD, epoch: EPOCH, holder: HOLDER });
const ALONE_RESPONSE = zod.object({ accepted: zod.boolean(), knownEpoch: EPOCH });

export type AloneRequest = zod.infer<typeof ALONE_REQUEST>;
export type AloneResponse = zod.infer<typeof ALONE_RESPONSE>;

/** The survivor of a pair tells a member that it goes on without the other, the log being down. */
export const ALONE: wire.PeerMethod<AloneRequest, AloneResponse> = {
  name: 'limits.alone',
  request: ALONE_REQUEST,
  response: ALONE_RESPONSE,
};

/** The ways in which an owner answers a request to be admitted. */
export const ANSWER_KINDS = {
  GRANTED: 'granted',
  REFUSED: 'refused',
  /** Not decided yet: ask again with the same id. */
  PENDING: 'pending',
  NOT_OWNER: 'not-owner',
} as const;

const GRANT_ANSWER = zod.object({
  kind: zod.enum(ANSWER_KINDS),
  /** When a token will be there; set when refused. */
  retryAfterMs: TOKENS.optional(),
  /** The latest claim that the process knows; set when it is not the owner. */
  ownership: OWNERSHIP.optional(),
});
const GRANT_ITEM = zod.object({
  requestId: zod.string(),
  workspace: zod.string(),
  timeoutMs: TOKENS,
});

export type GrantItem = zod.infer<typeof GRANT_ITEM>;
export type GrantAnswer = zod.infer<typeof GRANT_ANSWER>;

/** Requests of one turn of the event loop. */
export interface GrantRequest {
  readonly items: GrantItem[];
}

/** The answers, in the order of the requests. */
export interface GrantResponse {
  readonly answers: GrantAnswer[];
}

/** Asks the owner of buckets to admit requests. */
export const GRANT: wire.PeerMethod<GrantRequest, GrantResponse> = {
  name: 'limits.grant',
  request: zod.object({ items: zod.array(GRANT_ITEM) }),
  response: zod.object({ answers: zod.array(GRANT_ANSWER) }),
};
