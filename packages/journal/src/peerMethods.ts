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

const exchangeSchema = zod.object({
  /** The epoch that the sender knows of each shard; absent when it asks for nothing. */
  epochs: zod.array(epochSchema).optional(),
  /** Claims that the receiver may not know. */
  news: zod.array(ownershipSchema),
});

const newsSchema = zod.object({ news: zod.array(ownershipSchema) });

/** Records that the standby is to hold while the log is down. */
export type ReplicateRequest = zod.infer<typeof replicateSchema>;

/** Asks the standby whether the sender still owns the shard under an epoch. */
export type AuthorityRequest = zod.infer<typeof authoritySchema>;

/** What the sender knows of all claims. */
export type ExchangeRequest = zod.infer<typeof exchangeSchema>;

/** Claims that the asker did not know. */
export type ExchangeResponse = zod.infer<typeof newsSchema>;

/** The owner copies records to the standby. Refused with `not-owner` under an old epoch. */
export const replicate: wire.PeerMethod<ReplicateRequest, object> = {
  name: 'journal.replicate',
  request: replicateSchema,
  response: emptySchema,
};

/** The owner asks for the standby's word. Refused with `not-owner` once it may have claimed. */
export const authority: wire.PeerMethod<AuthorityRequest, object> = {
  name: 'journal.authority',
  request: authoritySchema,
  response: emptySchema,
};

/** Two VMs tell each other of claims. */
export const exchange: wire.PeerMethod<ExchangeRequest, ExchangeResponse> = {
  name: 'journal.ownership',
  request: exchangeSchema,
  response: newsSchema,
};

/** Tells a VM to look at a shard that was released in its favour. */
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
