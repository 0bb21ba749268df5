import type * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as logFailures from './LogFailures.js';

const PARTITION = zod.object({ topic: zod.string(), partition: zod.number() });

const BYTES = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);

const RECORD = zod.object({
  key: zod.string(),
  value: BYTES.optional(),
});

const APPEND = zod.object({
  call: zod.literal('append'),
  partition: PARTITION,
  records: zod.array(RECORD).readonly(),
  options: zod.object({
    identity: zod.object({ producer: zod.string(), sequence: zod.number() }),
    expectedEnd: zod.number().optional(),
  }),
});

const NEWEST = zod.object({
  call: zod.literal('newest'),
  partition: PARTITION,
  after: zod.string().optional(),
});

const READ = zod.object({
  call: zod.literal('read'),
  partition: PARTITION,
  from: zod.number(),
  waitMs: zod.number(),
  maximumBytes: zod.number().optional(),
});

const REQUEST = zod.discriminatedUnion('call', [APPEND, NEWEST, READ]);

const FOLLOW_REQUEST = zod.object({
  partition: PARTITION,
  /** Omitted to request the newest record of every key. */
  from: zod.number().optional(),
  waitMs: zod.number(),
});

const FOLLOW_RESPONSE = zod.object({
  records: zod.array(RECORD.extend({ offset: zod.number() })).readonly(),
  nextOffset: zod.number(),
  /** Set if the peer cannot serve the request; `records` is then empty. */
  failure: zod.enum(['expired', 'not-followed']).optional(),
});

/** Asks a peer for records of a partition that the peer follows. */
export type FollowRequest = zod.infer<typeof FOLLOW_REQUEST>;
export type FollowResponse = zod.infer<typeof FOLLOW_RESPONSE>;

export const FOLLOW: wire.PeerMethod<FollowRequest, FollowResponse> = {
  name: 'log.follow',
  request: FOLLOW_REQUEST,
  response: FOLLOW_RESPONSE,
};

const RESPONSE = zod.object({
  failure: zod
    .object({ kind: zod.enum(logFailures.LOG_FAILURES), message: zod.string() })
    .optional(),
  value: zod.unknown().optional(),
});

/** A call to the log that a peer makes on behalf of the sender. */
export type RelayedLogRequest = zod.infer<typeof REQUEST>;

/** The result of a relayed call: either a failure or a value. */
export type RelayedLogResponse = zod.infer<typeof RESPONSE>;

/** Makes a call to the log on behalf of a peer that cannot reach the log. */
export const RELAYED_LOG_CALL: wire.PeerMethod<RelayedLogRequest, RelayedLogResponse> = {
  name: 'log.call',
  request: REQUEST,
  response: RESPONSE,
};
