import * as msgpackr from 'msgpackr';
import * as zod from 'zod';

const OPEN_TURN = zod.object({ call: zod.string(), tokens: zod.number().nonnegative() });

const RECORD = zod.object({
  watermark: zod.number().nonnegative(),
  /** The producer that wrote the record, by which a home recognizes its own records. */
  writer: zod.string(),
  /** Turns in progress whose reservations the watermark includes; a later home can settle them. */
  open: zod.array(OPEN_TURN).default([]),
});

/** A turn in progress and the tokens that are reserved for it. */
export type OpenTurn = zod.infer<typeof OPEN_TURN>;

/**
 * The log record of a program. The watermark is the maximum number of tokens that may have been
 * granted. Tokens that the open turns do not use are deducted when these turns are settled.
 */
export type WatermarkRecord = zod.infer<typeof RECORD>;

/** Encodes a record as MessagePack. */
export function encodeWatermark(record: WatermarkRecord): Uint8Array {
  return msgpackr.pack(record);
}

/** Decodes a record; undefined when it is absent or malformed. */
export function decodeWatermark(value: Uint8Array | undefined): WatermarkRecord | undefined {
  if (value === undefined) return undefined;
  try {
    return RECORD.safeParse(msgpackr.unpack(value)).data;
  } catch {
    return undefined;
  }
}
