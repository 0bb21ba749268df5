import type * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as sampleKinds from './SampleKinds.js';

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
  /** Length of the quarantine, in milliseconds. */
  lengthMs: zod.number().nonnegative(),
  /** Time until it ends, from the receipt of the message. Default: its whole length. */
  remainingMs: zod.number().nonnegative().optional(),
});

const CRASH_RESPONSE = zod.object({
  /** Set if the request is quarantined, which the sender may not know. */
  quarantine: QUARANTINE.optional(),
});

const TURN_REQUEST = zod.object({
  target: zod.string(),
  incarnation: zod.string(),
  /** The limit that the target named in a response to the sender. */
  ratePerSecond: zod.number().nonnegative(),
  /** Time since that response, in milliseconds. */
  ageMs: zod.number().nonnegative(),
  /** Time since the sender first knew of the limit, in milliseconds. */
  knownMs: zod.number().nonnegative(),
  maximumWaitMs: zod.number().nonnegative(),
  /** Whether another VM passes the request on, which took the receiver for the owner. */
  isForwarded: zod.boolean(),
});

const TURN_RESPONSE = zod.object({
  isGranted: zod.boolean(),
  /** Time until the granted turn, or, if none is granted, until the next free one. */
  waitMs: zod.number().nonnegative(),
  /** The limit according to the latest response to any VM; null if it named none. */
  ratePerSecond: zod.number().nonnegative().nullable(),
  /** Time since that response, in milliseconds. */
  ageMs: zod.number().nonnegative(),
});

const ENDED_LIMIT = zod.object({
  target: zod.string(),
  incarnation: zod.string(),
  /** Time since the response that named no limit, in milliseconds. */
  ageMs: zod.number().nonnegative(),
});

/** Maximum length of a target's id or incarnation in a report. */
export const MAXIMUM_REPORTED_CHARACTERS = 200;

/** Maximum number of samples, and of counts of requests in flight, in a report. */
export const MAXIMUM_REPORT_ITEMS = 32;

/**
 * Bounds of a sample. Without them, the quotient of two samples may be infinite, and a view with such
 * a pace cannot be decoded.
 */
export const MINIMUM_SAMPLE_VALUE = 1e-6;
export const MAXIMUM_SAMPLE_VALUE = 1e9;

/** Maximum number of requests of a VM on a target, so that sums over all VMs stay exact. */
const MAXIMUM_IN_FLIGHT = 1_000_000;

/** Maximum number of targets in a view. */
export const MAXIMUM_VIEW_TARGETS = 64;

const REPORTED_NAME = zod.string().max(MAXIMUM_REPORTED_CHARACTERS);

const TARGET_LOAD_REPORT = zod.object({
  samples: zod
    .array(
      zod.object({
        target: REPORTED_NAME,
        /** Identifies the process, because a target may restart with the same id. */
        incarnation: REPORTED_NAME,
        value: zod.number().min(MINIMUM_SAMPLE_VALUE).max(MAXIMUM_SAMPLE_VALUE),
        kind: zod.enum([sampleKinds.SAMPLE_KINDS.STREAM, sampleKinds.SAMPLE_KINDS.UNARY]),
      }),
    )
    .max(MAXIMUM_REPORT_ITEMS),
  /** Requests of the sender that run on targets. */
  inFlight: zod
    .array(
      zod.object({
        target: REPORTED_NAME,
        count: zod.number().int().nonnegative().max(MAXIMUM_IN_FLIGHT),
      }),
    )
    .max(MAXIMUM_REPORT_ITEMS),
});

const LOADED_TARGET = zod.object({
  target: REPORTED_NAME,
  incarnation: REPORTED_NAME,
  /** Time per unit of work, relative to the other targets of the pool; 1 is normal. */
  pace: zod.number().positive(),
  /** Requests in flight from the collector's group; 0 if the target is not busy. */
  inFlight: zod.number().int().nonnegative(),
});

const TARGET_LOAD_VIEW = zod.object({
  targets: zod.array(LOADED_TARGET).max(MAXIMUM_VIEW_TARGETS),
});

/** What a VM has measured since its last report. */
export type TargetLoadReport = zod.infer<typeof TARGET_LOAD_REPORT>;

/** A target that is slow or busy. */
export type LoadedTarget = zod.infer<typeof LOADED_TARGET>;

/** The targets that are slow or busy according to a collector. */
export type TargetLoadView = zod.infer<typeof TARGET_LOAD_VIEW>;

/** A request for a turn to send a request to a target with a limit. */
export type TargetTurnRequest = zod.infer<typeof TURN_REQUEST>;

/** The response of the owner of a target's limit. */
export type TargetTurnResponse = zod.infer<typeof TURN_RESPONSE>;

/** A report of a target that crashed while it ran a request. */
export type CrashReport = zod.infer<typeof CRASH>;

/** A quarantine, as one VM tells it to another. */
export type QuarantineNotice = zod.infer<typeof QUARANTINE>;

/** A limit that a target names no longer. */
export type EndedTargetLimit = zod.infer<typeof ENDED_LIMIT>;

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
export const TARGET_CRASH: wire.PeerMethod<
  zod.infer<typeof CRASH>,
  zod.infer<typeof CRASH_RESPONSE>
> = {
  name: 'gateway.death',
  request: CRASH,
  response: CRASH_RESPONSE,
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

/** Requests a turn from the owner of a target's limit. */
export const TAKE_TARGET_TURN: wire.PeerMethod<TargetTurnRequest, TargetTurnResponse> = {
  name: 'gateway.target-turn',
  request: TURN_REQUEST,
  response: TURN_RESPONSE,
};

/** Notifies the owner of a target's limit that the target names it no longer. */
export const TARGET_LIMIT_ENDED: wire.PeerMethod<EndedTargetLimit, zod.infer<typeof EMPTY>> = {
  name: 'gateway.target-limit-ended',
  request: ENDED_LIMIT,
  response: EMPTY,
};

/** Reports measurements of targets to the collector, which responds with its view. */
export const TARGET_LOADS: wire.PeerMethod<TargetLoadReport, TargetLoadView> = {
  name: 'gateway.target-loads',
  request: TARGET_LOAD_REPORT,
  response: TARGET_LOAD_VIEW,
};
