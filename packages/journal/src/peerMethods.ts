import type * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as journalRecord from './JournalRecord.js';

const shardSchema = zod.int().nonnegative();
const epochSchema = zod.int().nonnegative();
const emptySchema = zod.object({});

const ownershipSchema = zod
  .object({
    shard: shardSchema,
    epoch: epochSchema,
    owner: journalRecord.holderSchema,
    standby: journalRecord.holderSchema.optional(),
  })
  .transform(({ shard, epoch, owner, standby }) =>
    standby === undefined ? { shard, epoch, owner } : { shard, epoch, owner, standby },
  );

const replicateSchema = zod.object({
  shard: shardSchema,
  epoch: epochSchema,
  records: zod.array(zod.object({ id: journalRecord.recordIdSchema, body: zod.unknown() })),
});

const authoritySchema = zod.object({ shard: shardSchema, epoch: epochSchema });

const exchangeRequestSchema = zod.object({
  /** The latest epoch of each shard that the sender knows; absent if it requests no claims. */
  epochs: zod.array(epochSchema).optional(),
  /** Claims that the receiver may not know. */
  news: zod.array(ownershipSchema),
});

const exchangeResponseSchema = zod.object({ news: zod.array(ownershipSchema) });

/** Records that the standby stores while the log is down. */
export type ReplicateRequest = zod.infer<typeof replicateSchema>;

/** A shard and the epoch under which the sender owns it. */
export type AuthorityRequest = zod.infer<typeof authoritySchema>;

/** Claims from the sender, and the epochs that it knows. */
export type ExchangeRequest = zod.infer<typeof exchangeRequestSchema>;

/** Claims that the requesting VM does not know. */
export type ExchangeResponse = zod.infer<typeof exchangeResponseSchema>;

/**
 * The owner replicates records to the standby. Refused with `not-owner` if the standby knows a
 * later epoch or may have claimed the shard.
 */
export const replicate: wire.PeerMethod<ReplicateRequest, object> = {
  name: 'journal.replicate',
  request: replicateSchema,
  response: emptySchema,
};

/**
 * The owner asks the standby to confirm that the sender still owns the shard. Refused with
 * `not-owner` if the standby knows a later epoch or may have claimed the shard.
 */
export const authority: wire.PeerMethod<AuthorityRequest, object> = {
  name: 'journal.authority',
  request: authoritySchema,
  response: emptySchema,
};

/** Two VMs exchange the claims that they know. */
export const exchange: wire.PeerMethod<ExchangeRequest, ExchangeResponse> = {
  name: 'journal.ownership',
  request: exchangeRequestSchema,
  response: exchangeResponseSchema,
};

/** Notifies a VM that a shard was released to it. */
export const offer: wire.PeerMethod<AuthorityRequest, object> = {
  name: 'journal.offer',
  request: authoritySchema,
  response: emptySchema,
};

/** An owner that cannot reach the log asks its standby, which can, to claim the shard. */
export const yieldShard: wire.PeerMethod<AuthorityRequest, object> = {
  name: 'journal.yield',
  request: authoritySchema,
  response: emptySchema,
};
