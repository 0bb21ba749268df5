import * as msgpackr from 'msgpackr';
import * as zod from 'zod';

const OPEN_TURN = zod.object({ call: zod.string(), tokens: zod.number().nonnegative() });

const RECORD = zod.object({
  watermark: zod.number().nonnegative(),
  /** The process that wrote it, so that a home knows its own records again. */
  writer: zod.string(),
  /** Turns under way whose reservations the watermark holds; a later home can still settle them. */
  open: zod.array(OPEN_TURN).default([]),
});

/** A turn that is under way, with the tokens set aside for it. */
export type OpenTurn = zod.infer<typeof OPEN_TURN>;

/** What the log keeps of a program: tokens that may have been handed out, and who says so. */
export type WatermarkRecord = zod.infer<typeof RECORD>;

export function encodeWatermark(record: WatermarkRecord): Uint8Array {
  return msgpackr.pack(record);
}

/** Reads a record; nothing when it is malformed. */
export function decodeWatermark(value: Uint8Array | undefined): WatermarkRecord | undefined {
  if (value === undefined) return undefined;
  try {
    return RECORD.safeParse(msgpackr.unpack(value)).data;
  } catch {
    return undefined;
  }
}
