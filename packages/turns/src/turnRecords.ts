import * as msgpackr from 'msgpackr';
import * as zod from 'zod';

const BYTES = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** Who wrote a turn, and when. Records of earlier releases do not say so. */
const ORIGIN = zod.object({
  /** The address of the VM that wrote the turn and removes it. */
  writer: zod.string().optional(),
  /** The writer's time of day in milliseconds; a hint, since clocks differ and jump. */
  writtenAt: zod.number().optional(),
});

const POSITION = zod.object({
  id: zod.string(),
  /** Of the record with the turn's content, in the partition of the turn's id. */
  offset: zod.number().int().nonnegative(),
});

const CONTENT = ORIGIN.extend({
  id: zod.string(),
  previous: zod.string().optional(),
  workspace: zod.string(),
  content: BYTES,
  /** Where the turns before it lie, the nearest first; those further back are found from the last. */
  earlier: zod.array(POSITION).readonly(),
  /** Offsets of the records that hold the rest of a content that is too large for one. */
  further: zod.array(zod.number().int().nonnegative()).readonly(),
});

const MARKER = CONTENT.pick({ earlier: true });

const TURN = CONTENT.omit({ further: true }).extend({ offset: POSITION.shape.offset });

/** Where a turn lies in the log. */
export type TurnPosition = zod.infer<typeof POSITION>;

/** Where a turn lies, who wrote it, and when. */
export type EarlierTurn = TurnPosition & zod.infer<typeof ORIGIN>;

/** A turn as the log holds it. */
export type ContentRecord = zod.infer<typeof CONTENT>;

/** Marks that a turn is kept: its content lies right before it. */
export type MarkerRecord = zod.infer<typeof MARKER>;

/** A turn with its place in the log, as processes hold it. */
export type TurnRecord = zod.infer<typeof TURN>;

/** The check of a turn that a peer sends. */
export const TURN_RECORD: zod.ZodType<TurnRecord> = TURN;

/** A turn without its content. */
export function withoutContent({ id, offset, writer, writtenAt }: TurnRecord): EarlierTurn {
  return { id, offset, writer, writtenAt };
}

export function encode(record: ContentRecord | MarkerRecord): Uint8Array {
  return msgpackr.pack(record);
}

/** Reads the record of a content; nothing when it is malformed. */
export function decodeContent(value: Uint8Array): ContentRecord | undefined {
  return decode(CONTENT, value);
}

/** Reads a marker; nothing when it is malformed. */
export function decodeMarker(value: Uint8Array): MarkerRecord | undefined {
  return decode(MARKER, value);
}

/** The key of the record with a turn's content, or the first part of it. */
export function contentKey(turn: string): string {
  return `content/${turn}`;
}

/** The key of a further part of a turn's content; the first of them is part 1. */
export function partKey(turn: string, part: number): string {
  return `part/${part}/${turn}`;
}

/** The key of a turn's marker. Markers sort behind all contents, so a listing of them is small. */
export function markerKey(turn: string): string {
  return `turn/${turn}`;
}

/** A text that sorts right before a key, so that a listing behind it starts with the key. */
export function justBefore(key: string): string {
  const last = key.charCodeAt(key.length - 1);
  return `${key.slice(0, -1)}${String.fromCharCode(last - 1)}~`;
}

function decode<Record>(shape: zod.ZodType<Record>, value: Uint8Array): Record | undefined {
  try {
    return shape.safeParse(msgpackr.unpack(value)).data;
  } catch {
    return undefined;
  }
}
