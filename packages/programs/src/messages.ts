import * as configuration from '@limpettack/configuration';
import * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as records from './records.js';

const BYTES = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);
const REQUEST_TEXT = zod.string().max(200);

/**
 * A response still running on an engine, for a call that an earlier home started, as reported by
 * the entry.
 */
export const RUNNING_RESPONSE = zod.object({ target: zod.string(), callId: zod.string() });

/** A call as an entry sends it to the home. */
export const CALL_REQUEST = zod.object({
  /** Remains the same when the entry sends the call again. */
  requestId: REQUEST_TEXT,
  workspace: zod.string().optional(),
  route: zod.string(),
  /** Absent for a call outside a program. */
  program: zod.string().optional(),
  turn: zod.int().min(1).optional(),
  /** Time left until the caller's deadline, in milliseconds. */
  remainingMs: zod.number(),
  /** Number of chunks that the caller has already received. */
  resumeAfter: zod.int().min(0),
  running: RUNNING_RESPONSE.optional(),
  call: zod.discriminatedUnion('kind', [
    zod.object({
      kind: zod.literal(configuration.CALL_KINDS.MODEL),
      messages: zod.array(records.CHAT_MESSAGE),
      maximumTokens: zod.int().min(1).optional(),
      parameters: zod.record(zod.string(), zod.unknown()),
    }),
    zod.object({
      kind: zod.literal(configuration.CALL_KINDS.SERVICE),
      method: zod.string(),
      path: zod.string(),
      headers: zod.record(zod.string(), zod.string()),
      body: BYTES,
      idempotencyKey: zod.string().optional(),
    }),
  ]),
});

/** Kinds of item in the response stream that a home sends for a call. */
export const ITEM_KINDS = {
  STARTED: 'started',
  CHUNK: 'chunk',
  ANSWER: 'answer',
  FINISHED: 'finished',
  FAULT: 'fault',
} as const;

/** An item of the response stream of a call. */
export const CALL_ITEM = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal(ITEM_KINDS.STARTED),
    turn: zod.int(),
    target: zod.string(),
    callId: zod.string(),
  }),
  zod.object({ kind: zod.literal(ITEM_KINDS.CHUNK), index: zod.int(), data: zod.string() }),
  zod.object({
    kind: zod.literal(ITEM_KINDS.ANSWER),
    status: zod.int(),
    headers: zod.record(zod.string(), zod.string()),
    body: BYTES,
  }),
  zod.object({
    kind: zod.literal(ITEM_KINDS.FINISHED),
    /** 0 for a call outside a program. */
    turn: zod.int(),
    durability: zod.string(),
  }),
  zod.object({ kind: zod.literal(ITEM_KINDS.FAULT), fault: wire.FAULT }),
]);

/** Runs a call, or replays the response of a call that has already run. */
export const CALL: wire.PeerStreamKind<
  zod.infer<typeof CALL_REQUEST>,
  zod.infer<typeof CALL_ITEM>
> = { name: 'programs.call', open: CALL_REQUEST, item: CALL_ITEM };

const PROGRAM_REQUEST = zod.object({ workspace: zod.string().optional(), program: zod.string() });

/** A program as shown to callers and operators. */
export const PROGRAM_VIEW = zod.object({
  program: zod.string(),
  workspace: zod.string().optional(),
  route: zod.string(),
  parent: zod.string().optional(),
  budget: configuration.BUDGET,
  spent: records.AMOUNT,
  reserved: records.AMOUNT,
  turns: zod.int(),
  ended: zod.string().optional(),
  complete: zod.boolean(),
  shard: zod.int(),
  owner: zod.string(),
});

const OPEN_REQUEST = zod.object({
  workspace: zod.string().optional(),
  /** Chosen by the entry, so that a repeated request opens only one program. */
  program: zod.string(),
  route: zod.string(),
  parent: zod.string().optional(),
  budget: configuration.BUDGET,
  /**
   * Whether the caller gave no budget; a child then gets at most half of its parent's available
   * budget.
   */
  isDefaultBudget: zod.boolean(),
});

/** Opens a program; a repeated request with the same id returns the same program. */
export const OPEN_PROGRAM: wire.PeerMethod<
  zod.infer<typeof OPEN_REQUEST>,
  zod.infer<typeof PROGRAM_VIEW>
> = { name: 'programs.open', request: OPEN_REQUEST, response: PROGRAM_VIEW };

/** Returns a program of the caller's workspace. */
export const SHOW_PROGRAM: wire.PeerMethod<
  zod.infer<typeof PROGRAM_REQUEST>,
  zod.infer<typeof PROGRAM_VIEW>
> = { name: 'programs.show', request: PROGRAM_REQUEST, response: PROGRAM_VIEW };

const ANY_PROGRAM_REQUEST = zod.object({ program: zod.string() });

/** Returns a program of any workspace, for operators. */
export const SHOW_ANY_PROGRAM: wire.PeerMethod<
  zod.infer<typeof ANY_PROGRAM_REQUEST>,
  zod.infer<typeof PROGRAM_VIEW>
> = { name: 'programs.showAny', request: ANY_PROGRAM_REQUEST, response: PROGRAM_VIEW };

const END_REQUEST = PROGRAM_REQUEST.extend({ byOperator: zod.boolean() });

/** Ends a program and its children. */
export const END_PROGRAM: wire.PeerMethod<
  zod.infer<typeof END_REQUEST>,
  zod.infer<typeof PROGRAM_VIEW>
> = { name: 'programs.end', request: END_REQUEST, response: PROGRAM_VIEW };

const TURN_REQUEST = PROGRAM_REQUEST.extend({ turn: zod.int().min(1) });

/** Returns the record of a completed turn. */
export const SHOW_TURN: wire.PeerMethod<
  zod.infer<typeof TURN_REQUEST>,
  zod.infer<typeof records.RECORDED_TURN>
> = { name: 'programs.turn', request: TURN_REQUEST, response: records.RECORDED_TURN };

/** A call whose outcome is unknown. */
export const IN_DOUBT_CALL = zod.object({
  callKey: zod.string(),
  workspace: zod.string().optional(),
  route: zod.string(),
  program: zod.string().optional(),
  turn: zod.int().optional(),
  target: zod.string(),
  idempotencyKey: zod.string(),
  shard: zod.int(),
  /** The note in the route's configuration that tells operators how to handle such calls. */
  note: zod.string(),
});

const IN_DOUBT_CALLS = zod.array(IN_DOUBT_CALL);

/** Lists the calls with unknown outcome in the shards that a VM owns. */
export const LIST_IN_DOUBT: wire.PeerMethod<
  Record<string, never>,
  zod.infer<typeof IN_DOUBT_CALLS>
> = {
  name: 'programs.inDoubt',
  request: zod.strictObject({}),
  response: IN_DOUBT_CALLS,
};

const REPORT_REQUEST = zod.object({
  callKey: zod.string(),
  intentId: zod.string(),
  /** Absent if the call was not sent and never will be. */
  answer: records.RECORDED_RESPONSE.optional(),
});

/**
 * Sent by the VM that started a call to the current owner of the call's shard, to report the call's
 * outcome.
 */
export const REPORT_OUTCOME: wire.PeerMethod<
  zod.infer<typeof REPORT_REQUEST>,
  { taken: boolean }
> = {
  name: 'programs.outcome',
  request: REPORT_REQUEST,
  response: zod.object({ taken: zod.boolean() }),
};

const RESOLVE_REQUEST = zod.object({
  callKey: zod.string(),
  outcome: zod.enum([records.RESOLUTIONS.RAN, records.RESOLUTIONS.NOT_RUN]),
  note: zod.string(),
});

/** Records an operator's resolution of a call with unknown outcome. */
export const RESOLVE_IN_DOUBT: wire.PeerMethod<
  zod.infer<typeof RESOLVE_REQUEST>,
  { resolved: boolean }
> = {
  name: 'programs.resolve',
  request: RESOLVE_REQUEST,
  response: zod.object({ resolved: zod.boolean() }),
};
