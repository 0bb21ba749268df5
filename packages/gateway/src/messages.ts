import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const DEATH = zod.object({ fingerprint: zod.string(), target: zod.string() });

const NOTHING = zod.object({});

/** Tells a peer that a target died while it ran a request. */
export const TARGET_DEATH: wire.PeerMethod<zod.infer<typeof DEATH>, zod.infer<typeof NOTHING>> = {
  name: 'gateway.death',
  request: DEATH,
  response: NOTHING,
};
