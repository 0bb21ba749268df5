import * as zod from 'zod';
import * as recordKinds from './RecordKinds.js';
import type { Ownership } from './Types.js';

const { BODY, CLAIM, RELEASE, CHECKPOINT } = recordKinds.RECORD_KINDS;

/** Schema of a record's id: the process that created it and a sequence number within it. */
export const recordIdSchema = zod.object({
  incarnation: zod.string().min(1),
  sequence: zod.int().nonnegative(),
});

/** Schema of a process that holds a shard. */
export const holderSchema = zod.object({
  name: zod.string().min(1),
  incarnation: zod.string().min(1),
  address: zod.string().min(1),
});

const envelope = {
  id: recordIdSchema,
  shard: zod.int().nonnegative(),
  epoch: zod.int().positive(),
};

const kindSchema = zod.looseObject({ kind: zod.string() });

const recordSchema = zod.discriminatedUnion('kind', [
  zod.object({ ...envelope, kind: zod.literal(BODY), body: zod.unknown() }),
  zod.object({
    ...envelope,
    kind: zod.literal(CLAIM),
    owner: holderSchema,
    standby: holderSchema.optional(),
  }),
  zod.object({
    ...envelope,
    kind: zod.literal(RELEASE),
    /** The name of the VM that should claim the shard next. */
    successor: zod.string().optional(),
  }),
  zod.object({
    ...envelope,
    kind: zod.literal(CHECKPOINT),
    owner: holderSchema,
    standby: holderSchema.optional(),
    /** Accepted records below this offset that are still needed have been appended again. */
    completeFrom: zod.int().nonnegative(),
  }),
]);

/** The id of a record, unique over all processes. */
export type RecordId = zod.infer<typeof recordIdSchema>;

/** A record in a shard's stream. */
export type JournalRecord = zod.infer<typeof recordSchema>;

/** A record that names an owner and a standby. */
export type HolderRecord = Extract<JournalRecord, { kind: 'claim' | 'checkpoint' }>;

/** The result of decoding the text of a record. */
export type DecodedRecord =
  | { readonly outcome: 'known'; readonly record: JournalRecord }
  | { readonly outcome: 'unknown-kind' }
  | { readonly outcome: 'malformed' };

const KNOWN_KINDS: ReadonlySet<string> = new Set(Object.values(recordKinds.RECORD_KINDS));

/** Decodes the text of a record. Never throws. */
export function decodeRecord(payload: string): DecodedRecord {
  const value = parseJson(payload);
  const kind = kindSchema.safeParse(value);
  if (!kind.success) return { outcome: 'malformed' };
  if (!KNOWN_KINDS.has(kind.data.kind)) return { outcome: 'unknown-kind' };
  const record = recordSchema.safeParse(value);
  if (!record.success) return { outcome: 'malformed' };
  return { outcome: 'known', record: record.data };
}

/** Encodes a record as text. */
export function encodeRecord(record: JournalRecord): string {
  return JSON.stringify(record);
}

/** Returns the ownership that a claim or checkpoint states. */
export function ownershipOf(record: HolderRecord): Ownership {
  const { shard, epoch, owner, standby } = record;
  return standby === undefined ? { shard, epoch, owner } : { shard, epoch, owner, standby };
}

/** Returns a text that is equal only for equal record ids. */
export function keyOf(id: RecordId): string {
  return `${id.incarnation}/${id.sequence}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
