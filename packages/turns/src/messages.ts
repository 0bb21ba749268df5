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

/** Asks the process that wrote turns to extend their retention, since later turns continue them. */
export const EXTEND_RETENTION: wire.PeerMethod<
  zod.infer<typeof EXTEND_RETENTION_REQUEST>,
  zod.infer<typeof EXTEND_RETENTION_RESPONSE>
> = {
  name: 'turns.keep-on',
  request: EXTEND_RETENTION_REQUEST,
  response: EXTEND_RETENTION_RESPONSE,
};
