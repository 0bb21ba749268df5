import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const DEATH = zod.object({ fingerprint: zod.string(), target: zod.string() });

const NOTHING = zod.object({});

const QUARANTINE = zod.object({ fingerprint: zod.string() });

/** Tells a peer that a request is refused from now on. */
export const REQUEST_QUARANTINED: wire.PeerMethod<
  zod.infer<typeof QUARANTINE>,
  zod.infer<typeof NOTHING>
> = {
  name: 'gateway.quarantine',
  request: QUARANTINE,
  response: NOTHING,
};

/** Tells a peer that keeps count of a request that a target died while it ran the request. */
export const TARGET_DEATH: wire.PeerMethod<zod.infer<typeof DEATH>, zod.infer<typeof NOTHING>> = {
  name: 'gateway.death',
  request: DEATH,
  response: NOTHING,
};
