import type * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as turnRecords from './turnRecords.js';

const FETCH_REQUEST = zod.object({
  turn: zod.string(),
  /**
   * Turns that the requesting process already holds. The response contains the chain up to the
   * first of them, exclusive.
   */
  held: zod.array(zod.string()),
});

const FETCH_RESPONSE = zod.object({ turns: zod.array(turnRecords.TURN_RECORD) });

/** Fetches a chain of turns from a peer, newest first. */
export const FETCH_TURNS: wire.PeerMethod<
  zod.infer<typeof FETCH_REQUEST>,
  zod.infer<typeof FETCH_RESPONSE>
> = {
  name: 'turns.fetch',
  request: FETCH_REQUEST,
  response: FETCH_RESPONSE,
};

const EXTEND_RETENTION_REQUEST = zod.object({
  turns: zod.array(
    zod.object({
      turn: zod.string(),
      /** How long the turn has to be retained from now on, in milliseconds. */
      spanMs: zod.number(),
    }),
  ),
});

const EXTEND_RETENTION_RESPONSE = zod.object({
  /** The number of requested turns whose retention was extended. */
  count: zod.number(),
});

/** Turns whose retention has to be extended. */
export type ExtendRetentionRequest = zod.infer<typeof EXTEND_RETENTION_REQUEST>;

/** How many of them have been extended. */
export type ExtendRetentionResponse = zod.infer<typeof EXTEND_RETENTION_RESPONSE>;

/** Asks the process that wrote turns to extend their retention, since later turns continue them. */
export const EXTEND_RETENTION: wire.PeerMethod<ExtendRetentionRequest, ExtendRetentionResponse> = {
  name: 'turns.keep-on',
  request: EXTEND_RETENTION_REQUEST,
  response: EXTEND_RETENTION_RESPONSE,
};

const RELAY_EXTENSION_REQUEST = EXTEND_RETENTION_REQUEST.extend({
  /** The address of the process that wrote the turns. */
  writer: zod.string(),
});

/** Asks a process to pass a request to extend the retention of turns on to the one that wrote them. */
export const RELAY_EXTENSION: wire.PeerMethod<
  zod.infer<typeof RELAY_EXTENSION_REQUEST>,
  ExtendRetentionResponse
> = {
  name: 'turns.relay-keep-on',
  request: RELAY_EXTENSION_REQUEST,
  response: EXTEND_RETENTION_RESPONSE,
};

const CONFIRM_REMOVAL_REQUEST = zod.object({
  /** Turns of the requesting process whose retention is over, as far as it knows. */
  turns: zod.array(zod.string()),
});

const CONFIRM_REMOVAL_RESPONSE = zod.object({
  /** The turns that no stored turn continues that is still needed. */
  removable: zod.array(zod.string()),
});

/**
 * Asks the process that lists the stored turns which turns can be removed. The response waits for a
 * listing that begins after the request.
 */
export const CONFIRM_REMOVAL: wire.PeerMethod<
  zod.infer<typeof CONFIRM_REMOVAL_REQUEST>,
  zod.infer<typeof CONFIRM_REMOVAL_RESPONSE>
> = {
  name: 'turns.confirm-removal',
  request: CONFIRM_REMOVAL_REQUEST,
  response: CONFIRM_REMOVAL_RESPONSE,
};
