/** The messages between members. Their size is bounded, independent of the fleet size. */
import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

/** The maximum number of member records in a message, besides that of the sender. */
export const UPDATES_PER_MESSAGE = 8;

const MAXIMUM_TEXT_LENGTH = 256;
const TEXT = zod.string().max(MAXIMUM_TEXT_LENGTH);

/** A membership update: what a process knows about a member. */
export const MEMBER_UPDATE = zod.object({
  name: TEXT.min(1),
  incarnation: TEXT.min(1),
  /**
   * Takes precedence over the incarnation in the order of a VM's processes; see `MemberTable`.
   * Absent in messages of earlier releases, which run beside later ones during a fleet upgrade.
   */
  generation: zod.int().min(0).default(0),
  address: TEXT.min(1),
  failureDomain: TEXT,
  suspected: zod.boolean(),
  leaving: zod.boolean(),
  /** Increased by the member itself to correct its record. The larger revision wins. */
  revision: zod.int().min(0),
});

export type MemberUpdate = zod.infer<typeof MEMBER_UPDATE>;

const PROBE_MESSAGE = zod.object({
  /** The sender's own record. */
  self: MEMBER_UPDATE,
  news: zod.array(MEMBER_UPDATE).max(UPDATES_PER_MESSAGE),
});

/** A probe or the response to it. */
export type ProbeMessage = zod.infer<typeof PROBE_MESSAGE>;

/** Checks whether a member is alive. */
export const PROBE: wire.PeerMethod<ProbeMessage, ProbeMessage> = {
  name: 'membership.probe',
  request: PROBE_MESSAGE,
  response: PROBE_MESSAGE,
};

const INDIRECT_PROBE_REQUEST = zod.object({ name: TEXT.min(1), address: TEXT.min(1) });
const INDIRECT_PROBE_RESPONSE = zod.object({
  /** The member's own record, if it responded. */
  reached: MEMBER_UPDATE.optional(),
});

export type IndirectProbeRequest = zod.infer<typeof INDIRECT_PROBE_REQUEST>;
export type IndirectProbeResponse = zod.infer<typeof INDIRECT_PROBE_RESPONSE>;

/** Asks a member to probe another member. */
export const INDIRECT_PROBE: wire.PeerMethod<IndirectProbeRequest, IndirectProbeResponse> = {
  name: 'membership.probeFor',
  request: INDIRECT_PROBE_REQUEST,
  response: INDIRECT_PROBE_RESPONSE,
};
