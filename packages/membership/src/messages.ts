/** The messages between members. Each has a bounded size, whatever the size of the fleet. */
import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

/** The largest number of members told about in one message, besides the sender itself. */
export const NEWS_PER_MESSAGE = 8;

const MAXIMUM_TEXT_LENGTH = 256;
const TEXT = zod.string().max(MAXIMUM_TEXT_LENGTH);

/** What a process knows of a member. */
export const MEMBER_NEWS = zod.object({
  name: TEXT.min(1),
  incarnation: TEXT.min(1),
  /**
   * Goes before the incarnation in the order of a VM's processes; see `MemberTable`. Left out by
   * processes of earlier releases, which run beside later ones while a fleet is upgraded.
   */
  generation: zod.int().min(0).default(0),
  address: TEXT.min(1),
  failureDomain: TEXT,
  suspected: zod.boolean(),
  leaving: zod.boolean(),
  /** Grows when the member itself corrects what is said of it; the larger one is right. */
  revision: zod.int().min(0),
});

export type MemberNews = zod.infer<typeof MEMBER_NEWS>;

const PROBE_MESSAGE = zod.object({
  /** The sender's own record. */
  self: MEMBER_NEWS,
  news: zod.array(MEMBER_NEWS).max(NEWS_PER_MESSAGE),
});

/** A probe or the answer to it. */
export type ProbeMessage = zod.infer<typeof PROBE_MESSAGE>;

/** Asks a member whether it is there. */
export const PROBE: wire.PeerMethod<ProbeMessage, ProbeMessage> = {
  name: 'membership.probe',
  request: PROBE_MESSAGE,
  response: PROBE_MESSAGE,
};

const PROBE_FOR_REQUEST = zod.object({ name: TEXT.min(1), address: TEXT.min(1) });
const PROBE_FOR_RESPONSE = zod.object({
  /** The member's own record when it answered. */
  reached: MEMBER_NEWS.optional(),
});

export type ProbeForRequest = zod.infer<typeof PROBE_FOR_REQUEST>;
export type ProbeForResponse = zod.infer<typeof PROBE_FOR_RESPONSE>;

/** Asks a member to probe another one. */
export const PROBE_FOR: wire.PeerMethod<ProbeForRequest, ProbeForResponse> = {
  name: 'membership.probeFor',
  request: PROBE_FOR_REQUEST,
  response: PROBE_FOR_RESPONSE,
};
