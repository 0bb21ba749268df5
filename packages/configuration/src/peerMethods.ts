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
  /** Whether the sender lacks records, so that only the whole state helps it. */
  hasGap: zod.boolean(),
});

const PULL_ANSWER = zod.strictObject({
  /** Whether the peer has read the tail of the stream or taken another peer's copy. */
  ready: zod.boolean(),
  ...ANNOUNCEMENT.shape,
  /** Edits after the sender's version, or one snapshot; none when the peer is not ahead. */
  records: zod.array(zod.strictObject({ offset: zod.int(), record: schemas.CONFIGURATION_RECORD })),
});

/** How far a VM has read the configuration stream. */
export type Announcement = zod.infer<typeof ANNOUNCEMENT>;

/** How far the one that asks has read. */
export type PullRequest = zod.infer<typeof PULL_REQUEST>;

/** What a peer knows beyond the one that asks. */
export type PullAnswer = zod.infer<typeof PULL_ANSWER>;

/** Tells a peer that the sender has a newer configuration. */
export const ANNOUNCE: wire.PeerMethod<Announcement, Record<string, never>> = {
  name: 'configuration.announce',
  request: ANNOUNCEMENT,
  response: zod.strictObject({}),
};

/** Asks a peer for what it knows beyond the sender's version and offset. */
export const PULL: wire.PeerMethod<PullRequest, PullAnswer> = {
  name: 'configuration.pull',
  request: PULL_REQUEST,
  response: PULL_ANSWER,
};
