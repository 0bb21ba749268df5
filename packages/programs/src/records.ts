import * as configuration from '@limpettack/configuration';
import * as zod from 'zod';

/** Kinds of record in a journal shard. */
export const RECORD_KINDS = {
  PROGRAM_OPENED: 'programOpened',
  RESERVED: 'reserved',
  TURN_COMPLETED: 'turnCompleted',
  PROGRAM_ENDED: 'programEnded',
  MEMORY_RELEASED: 'memoryReleased',
  CALL_INTENDED: 'callIntended',
  CALL_COMPLETED: 'callCompleted',
  CALL_WITHDRAWN: 'callWithdrawn',
  CALL_RESOLVED: 'callResolved',
  REQUEST_QUARANTINED: 'requestQuarantined',
  PROGRAM_SNAPSHOT: 'programSnapshot',
  CALL_SNAPSHOT: 'callSnapshot',
} as const;

/** Why a program ended. */
export const END_REASONS = {
  CALLER: 'caller',
  OPERATOR: 'operator',
  PARENT: 'parent',
  EXPIRED: 'expired',
} as const;

/** How an operator can resolve a call whose outcome is unknown. */
export const RESOLUTIONS = { RAN: 'ran', NOT_RUN: 'not-run' } as const;

/** A number of generated tokens and a number of calls. */
export const AMOUNT = zod.object({ tokens: zod.number(), calls: zod.number() });

/** One message of a chat. */
export const CHAT_MESSAGE = zod.looseObject({ role: zod.string(), content: zod.string() });

/** The response to a model call or a service call. */
export const RECORDED_RESPONSE = zod.object({
  status: zod.number(),
  headers: zod.record(zod.string(), zod.string()),
  /** The body of a service's response, in base64; empty for a model call. */
  body: zod.string(),
  /** The chunks of a model call, as JSON text; empty for a service call. */
  chunks: zod.array(zod.string()),
});

/** A turn as stored in the journal. */
export const RECORDED_TURN = zod.object({
  turn: zod.int().min(1),
  requestId: zod.string(),
  requestDigest: zod.string(),
  /** The messages that the turn added to the history, including the model's response. */
  messages: zod.array(CHAT_MESSAGE),
  answer: RECORDED_RESPONSE,
  /** SHA-256 over the chain digest of the previous turn and the content of this turn. */
  chainDigest: zod.string(),
  /** The target that ran the turn; absent if no engine holds memory for the response. */
  target: zod.string().optional(),
});

const PROGRAM_FACTS = zod.object({
  program: zod.string(),
  /** Absent if the caller has no API key, which only open routes allow. */
  workspace: zod.string().optional(),
  route: zod.string(),
  parent: zod.string().optional(),
  budget: configuration.BUDGET,
});

const CALL_FACTS = zod.object({
  /** Scope and idempotency key; unique in the deployment. */
  callKey: zod.string(),
  /** Distinguishes this intent from others for the same key. */
  intentId: zod.string(),
  requestDigest: zod.string(),
  workspace: zod.string().optional(),
  route: zod.string(),
  program: zod.string().optional(),
  turn: zod.int().min(1).optional(),
  target: zod.string(),
  idempotencyKey: zod.string(),
});

/** A record in a journal shard. */
export const JOURNAL_BODY = zod.discriminatedUnion('kind', [
  PROGRAM_FACTS.extend({ kind: zod.literal(RECORD_KINDS.PROGRAM_OPENED), reserved: AMOUNT }),
  zod.object({
    kind: zod.literal(RECORD_KINDS.RESERVED),
    program: zod.string(),
    /** Tokens and calls used by a turn that did not complete. */
    used: AMOUNT,
    /** The total reservation after this record. */
    reserved: AMOUNT,
  }),
  zod.object({
    kind: zod.literal(RECORD_KINDS.TURN_COMPLETED),
    program: zod.string(),
    completed: RECORDED_TURN,
    used: AMOUNT,
    /** The total reservation after this record. */
    reserved: AMOUNT,
  }),
  zod.object({
    kind: zod.literal(RECORD_KINDS.PROGRAM_ENDED),
    program: zod.string(),
    reason: zod.enum(Object.values(END_REASONS) as [string, ...string[]]),
    /** The amount that is returned to the parent's budget. */
    returned: AMOUNT,
  }),
  zod.object({
    kind: zod.literal(RECORD_KINDS.MEMORY_RELEASED),
    program: zod.string(),
    target: zod.string(),
  }),
  CALL_FACTS.extend({ kind: zod.literal(RECORD_KINDS.CALL_INTENDED) }),
  zod.object({
    kind: zod.literal(RECORD_KINDS.CALL_COMPLETED),
    callKey: zod.string(),
    answer: RECORDED_RESPONSE,
  }),
  /** Withdraws a recorded intent. The call was never sent, so its `callKey` can be used again. */
  zod.object({ kind: zod.literal(RECORD_KINDS.CALL_WITHDRAWN), callKey: zod.string() }),
  zod.object({
    kind: zod.literal(RECORD_KINDS.CALL_RESOLVED),
    callKey: zod.string(),
    outcome: zod.enum([RESOLUTIONS.RAN, RESOLUTIONS.NOT_RUN]),
    note: zod.string(),
  }),
  zod.object({
    kind: zod.literal(RECORD_KINDS.REQUEST_QUARANTINED),
    fingerprint: zod.string(),
  }),
  PROGRAM_FACTS.extend({
    kind: zod.literal(RECORD_KINDS.PROGRAM_SNAPSHOT),
    ageMs: zod.number(),
    spent: AMOUNT,
    reserved: AMOUNT,
    turns: zod.array(RECORDED_TURN),
    /** False when earlier records of the program could not be read. */
    complete: zod.boolean(),
    holdings: zod.array(zod.string()),
    ended: zod.string().optional(),
  }),
  CALL_FACTS.extend({
    kind: zod.literal(RECORD_KINDS.CALL_SNAPSHOT),
    outcome: zod.enum(['unknown', RESOLUTIONS.RAN]),
    answer: RECORDED_RESPONSE.optional(),
  }),
]);
