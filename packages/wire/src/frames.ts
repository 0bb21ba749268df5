import * as errors from '@limpettack/errors';
import * as zod from 'zod';

/** The kinds of frame on a link. */
export const FRAME_KINDS = {
  REQUEST: 'request',
  ANSWER: 'answer',
  FAULT: 'fault',
  OPEN: 'open',
  ITEM: 'item',
  END: 'end',
  CREDIT: 'credit',
  CANCEL: 'cancel',
  PING: 'ping',
  PONG: 'pong',
} as const;

const ID = zod.int().min(0);
const KIND_NAMES = Object.keys(errors.ERROR_KINDS) as [errors.ErrorKind, ...errors.ErrorKind[]];
const RUN_STATE_NAMES = Object.values(errors.RUN_STATES) as [errors.RunState, ...errors.RunState[]];

/** The schema of a fault on a link. */
export const FAULT: zod.ZodType<errors.Fault> = zod.object({
  kind: zod.enum(KIND_NAMES),
  message: zod.string(),
  run: zod.enum(RUN_STATE_NAMES),
  retryAfterMs: zod.number(),
  details: zod
    .record(zod.string(), zod.union([zod.string(), zod.number(), zod.boolean()]))
    .exactOptional(),
});

/** The schema of one frame. The method or stream validates the body. */
export const FRAME = zod.discriminatedUnion('kind', [
  zod.object({
    kind: zod.literal(FRAME_KINDS.REQUEST),
    id: ID,
    name: zod.string(),
    body: zod.unknown(),
  }),
  zod.object({ kind: zod.literal(FRAME_KINDS.ANSWER), id: ID, body: zod.unknown() }),
  zod.object({ kind: zod.literal(FRAME_KINDS.FAULT), id: ID, fault: FAULT }),
  zod.object({
    kind: zod.literal(FRAME_KINDS.OPEN),
    id: ID,
    name: zod.string(),
    body: zod.unknown(),
  }),
  zod.object({ kind: zod.literal(FRAME_KINDS.ITEM), id: ID, body: zod.unknown() }),
  /** Sent by the sender of a stream after its last item. */
  zod.object({ kind: zod.literal(FRAME_KINDS.END), id: ID }),
  /** Sent by the receiver when it has room for `count` more items. */
  zod.object({ kind: zod.literal(FRAME_KINDS.CREDIT), id: ID, count: zod.int().min(1) }),
  /** Sent by the receiver to cancel the stream. */
  zod.object({ kind: zod.literal(FRAME_KINDS.CANCEL), id: ID }),
  zod.object({ kind: zod.literal(FRAME_KINDS.PING) }),
  zod.object({ kind: zod.literal(FRAME_KINDS.PONG) }),
]);

/** The schema of one WebSocket message: the frames of one iteration of the event loop. */
export const FRAMES = zod.array(FRAME);

/** A frame on a link. */
export type Frame = zod.infer<typeof FRAME>;
