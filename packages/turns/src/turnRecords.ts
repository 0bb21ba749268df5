import * as msgpackr from 'msgpackr';
import * as zod from 'zod';

/** Starts the keys of all markers. Sorts after the start of all other keys. */
export const MARKER_PREFIX = 'turn/';

const CONTENT_PREFIX = 'content/';

const BYTES = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** Who wrote a turn, and when. Records of earlier releases lack both fields. */
const ORIGIN = zod.object({
  /** The address of the VM that wrote the turn and will remove it. */
  writer: zod.string().optional(),
  /** The writer's wall-clock time in milliseconds. Approximate, since clocks differ and jump. */
  writtenAt: zod.number().optional(),
});

const POSITION = zod.object({
  id: zod.string(),
  /** The offset of the record with the turn's content, in the partition of the turn's id. */
  offset: zod.number().int().nonnegative(),
});

const CONTENT = ORIGIN.extend({
  id: zod.string(),
  previous: zod.string().optional(),
  workspace: zod.string(),
  content: BYTES,
  /**
   * Positions of the turns before this one, nearest first. If there are further ones, the record at
   * the last position leads to them.
   */
  earlier: zod.array(POSITION).readonly(),
  /**
   * Offsets of the records with the remaining parts of a content that is too large for one record.
   */
  further: zod.array(zod.number().int().nonnegative()).readonly(),
});

/** Records of earlier releases contain only the positions. */
const MARKER = CONTENT.pick({ earlier: true }).extend({
  /** The process that wrote the turn and removes it, unless the process ends before. */
  process: zod.string().optional(),
  /** How long the turn may be needed after it was written if no turn continues it, in milliseconds. */
  keepMs: zod.number().nonnegative().optional(),
  /** The number of records with further parts of the content. */
  partCount: zod.number().int().nonnegative().optional(),
});

const TURN = CONTENT.omit({ further: true }).extend({ offset: POSITION.shape.offset });

/** The position of a turn in the log. */
export type TurnPosition = zod.infer<typeof POSITION>;

/** The position of a turn in the log, who wrote it, and when. */
export type EarlierTurn = TurnPosition & zod.infer<typeof ORIGIN>;

/** The record of a turn with its content, or the first part of it. */
export type ContentRecord = zod.infer<typeof CONTENT>;

/** Marks that a turn is stored completely. The content record directly precedes the marker. */
export type MarkerRecord = zod.infer<typeof MARKER>;

/** A complete turn with its offset in the log, as processes hold and exchange it. */
export type TurnRecord = zod.infer<typeof TURN>;

/** Validates a turn that a peer sends. */
export const TURN_RECORD: zod.ZodType<TurnRecord> = TURN;

/** Returns the id, log offset, writer and write time of a turn, without its content. */
export function withoutContent({ id, offset, writer, writtenAt }: TurnRecord): EarlierTurn {
  return { id, offset, writer, writtenAt };
}

export function encode(record: ContentRecord | MarkerRecord): Uint8Array {
  return msgpackr.pack(record);
}

/** Decodes a content record. Returns undefined if it is malformed. */
export function decodeContent(value: Uint8Array): ContentRecord | undefined {
  return decode(CONTENT, value);
}

/** Decodes a marker. Returns undefined if it is malformed. */
export function decodeMarker(value: Uint8Array): MarkerRecord | undefined {
  return decode(MARKER, value);
}

/** The key of the record with a turn's content, or with the first part of it. */
export function contentKey(turn: string): string {
  return `${CONTENT_PREFIX}${turn}`;
}

/** Whether a key is that of the record with a turn's content, or with the first part of it. */
export function isContentKey(key: string): boolean {
  return key.startsWith(CONTENT_PREFIX);
}

/**
 * The key of a further part of a turn's content. The parts after the content record count from 1.
 */
export function partKey(turn: string, part: number): string {
  return `part/${part}/${turn}`;
}

/**
 * The key of a turn's marker. Marker keys sort after all content keys, so that a listing of markers
 * is small.
 */
export function markerKey(turn: string): string {
  return `${MARKER_PREFIX}${turn}`;
}

/** The id of the turn that a marker's key names. Returns undefined for other keys. */
export function markedTurn(key: string): string | undefined {
  return key.startsWith(MARKER_PREFIX) ? key.slice(MARKER_PREFIX.length) : undefined;
}

/**
 * A text that sorts directly before a key, so that a listing that starts after it begins with the
 * key.
 */
export function keyBefore(key: string): string {
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
