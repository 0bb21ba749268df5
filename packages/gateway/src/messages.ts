import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const CRASH = zod.object({ fingerprint: zod.string(), target: zod.string() });

const TARGET = zod.object({ target: zod.string() });

const EMPTY = zod.object({});

const QUARANTINE = zod.object({ fingerprint: zod.string() });

/** Notifies a peer that a request is quarantined and must be refused. */
export const REQUEST_QUARANTINED: wire.PeerMethod<
  zod.infer<typeof QUARANTINE>,
  zod.infer<typeof EMPTY>
> = {
  name: 'gateway.quarantine',
  request: QUARANTINE,
  response: EMPTY,
};

/** Reports a crash of a target to a peer that counts the crashes of its request. */
export const TARGET_CRASH: wire.PeerMethod<zod.infer<typeof CRASH>, zod.infer<typeof EMPTY>> = {
  name: 'gateway.death',
  request: CRASH,
  response: EMPTY,
};

/** Reports a failure of a target to a peer that collects them. */
export const TARGET_FAILED: wire.PeerMethod<zod.infer<typeof TARGET>, zod.infer<typeof EMPTY>> = {
  name: 'gateway.target-failed',
  request: TARGET,
  response: EMPTY,
};

/** Notifies a peer that several VMs have seen a target fail. */
export const TARGET_SUSPECTED: wire.PeerMethod<
  zod.infer<typeof TARGET>,
  zod.infer<typeof EMPTY>
> = {
  name: 'gateway.target-suspected',
  request: TARGET,
  response: EMPTY,
};
