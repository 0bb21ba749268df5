import * as msgpackr from 'msgpackr';
import * as zod from 'zod';

const BYTES = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);

const RECORD = zod.object({
  id: zod.string(),
  previous: zod.string().optional(),
  workspace: zod.string(),
  content: BYTES,
  /** Records that hold the rest of a content that is too large for one. */
  furtherParts: zod.number().int().nonnegative(),
});

/** A turn as the log and peers hold it. */
export type TurnRecord = zod.infer<typeof RECORD>;

/** The check of a turn that a peer sends. */
export const TURN_RECORD: zod.ZodType<TurnRecord> = RECORD;

export function encodeTurn(record: TurnRecord): Uint8Array {
  return msgpackr.pack(record);
}

/** Reads a record; nothing when it is malformed. */
export function decodeTurn(value: Uint8Array): TurnRecord | undefined {
  try {
    return RECORD.safeParse(msgpackr.unpack(value)).data;
  } catch {
    return undefined;
  }
}

/** The key of a part of a turn's content; the first part has the turn's own id. */
export function partKey(turn: string, part: number): string {
  return part === 0 ? turn : `${turn}/${part}`;
}

/** A text that sorts right before a key, so that a listing behind it starts with the key. */
export function justBefore(key: string): string {
  const last = key.charCodeAt(key.length - 1);
  return `${key.slice(0, -1)}${String.fromCharCode(last - 1)}~`;
}
