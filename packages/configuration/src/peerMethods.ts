import type * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as schemas from './schemas.js';

const ANNOUNCEMENT = zod.strictObject({
  version: zod.int().min(0),
  /** The next offset that the sender reads. */
  offset: zod.int().min(0),
});

const PULL_REQUEST = zod.strictObject({
  ...ANNOUNCEMENT.shape,
  /** Whether the sender lacks records, so that it needs a snapshot. */
  hasGap: zod.boolean(),
});

const PULL_RESPONSE = zod.strictObject({
  /** Whether the peer has read the tail of the stream or pulled from a ready peer. */
  ready: zod.boolean(),
  ...ANNOUNCEMENT.shape,
  /** Edits after the requester's version, or one snapshot; empty when the peer is not ahead. */
  records: zod.array(zod.strictObject({ offset: zod.int(), record: schemas.CONFIGURATION_RECORD })),
});

/** How far a VM has read the configuration stream. */
export type Announcement = zod.infer<typeof ANNOUNCEMENT>;

/** How far the requesting VM has read. */
export type PullRequest = zod.infer<typeof PULL_REQUEST>;

/** The records that a peer has and the requesting VM lacks. */
export type PullResponse = zod.infer<typeof PULL_RESPONSE>;

/** Announces to a peer that the sender has a new configuration. */
export const ANNOUNCE: wire.PeerMethod<Announcement, Record<string, never>> = {
  name: 'configuration.announce',
  request: ANNOUNCEMENT,
  response: zod.strictObject({}),
};

/** Requests the records of a peer after the sender's version and offset. */
export const PULL: wire.PeerMethod<PullRequest, PullResponse> = {
  name: 'configuration.pull',
  request: PULL_REQUEST,
  response: PULL_RESPONSE,
};
