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
