import type * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as turnRecords from './turnRecords.js';

const REQUEST = zod.object({
  turn: zod.string(),
  /** Turns that the asking process holds; the chain is sent down to the first of them. */
  held: zod.array(zod.string()),
});

const RESPONSE = zod.object({ turns: zod.array(turnRecords.TURN_RECORD) });

/** Asks a peer for a chain of turns, the newest first. */
export const FETCH_TURNS: wire.PeerMethod<zod.infer<typeof REQUEST>, zod.infer<typeof RESPONSE>> = {
  name: 'turns.fetch',
  request: REQUEST,
  response: RESPONSE,
};

const KEEP_ON_REQUEST = zod.object({
  turns: zod.array(
    zod.object({
      turn: zod.string(),
      /** How long the turn is needed from now on, in milliseconds. */
      spanMs: zod.number(),
    }),
  ),
});

const KEEP_ON_RESPONSE = zod.object({
  /** How many of the turns the process still holds. */
  count: zod.number(),
});

/** Tells the process that wrote turns to keep them on, since later turns need them. */
export const KEEP_ON: wire.PeerMethod<
  zod.infer<typeof KEEP_ON_REQUEST>,
  zod.infer<typeof KEEP_ON_RESPONSE>
> = {
  name: 'turns.keep-on',
  request: KEEP_ON_REQUEST,
  response: KEEP_ON_RESPONSE,
};
