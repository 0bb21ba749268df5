import type * as wire from '@limpettack/wire';
import * as zod from 'zod';

const CRASH = zod.object({
  fingerprint: zod.string(),
  target: zod.string(),
  /** Time since the call was sent that was running when the target crashed, in milliseconds. */
  ageMs: zod.number().nonnegative().default(0),
});

const TARGET = zod.object({ target: zod.string() });

const EMPTY = zod.object({});

const FINGERPRINT = zod.object({ fingerprint: zod.string() });

const QUARANTINE = zod.object({
  fingerprint: zod.string(),
  /** Length of the quarantine from the receipt of the message, in milliseconds. */
  lengthMs: zod.number().nonnegative(),
});

/**
 * Notifies a peer that targets have crashed while they ran a request, so that the peer reports if
 * one completes it.
 */
export const REQUEST_SUSPECTED: wire.PeerMethod<
  zod.infer<typeof FINGERPRINT>,
  zod.infer<typeof EMPTY>
> = {
  name: 'gateway.suspected',
  request: FINGERPRINT,
  response: EMPTY,
};

/** Notifies a peer that counts the crashes of a request that a target has completed it. */
export const REQUEST_COMPLETED: wire.PeerMethod<
  zod.infer<typeof FINGERPRINT>,
  zod.infer<typeof EMPTY>
> = {
  name: 'gateway.completed',
  request: FINGERPRINT,
  response: EMPTY,
};

/** Notifies a peer that the quarantine of a request is lifted. */
export const QUARANTINE_LIFTED: wire.PeerMethod<
  zod.infer<typeof FINGERPRINT>,
  zod.infer<typeof EMPTY>
> = {
  name: 'gateway.quarantine-lifted',
  request: FINGERPRINT,
  response: EMPTY,
};

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
