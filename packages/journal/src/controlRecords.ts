import type * as wire from '@limpettack/wire';
import type { JournalRecord, RecordId } from './JournalRecord.js';
import * as recordKinds from './RecordKinds.js';
import type { ShardHolder } from './Types.js';

const { CLAIM, RELEASE, CHECKPOINT } = recordKinds.RECORD_KINDS;

/** The fields of control records: shard, epoch and holders. */
export interface ControlFields {
  readonly id: RecordId;
  readonly shard: number;
  readonly epoch: number;
  readonly owner: ShardHolder;
  readonly standby: ShardHolder | undefined;
}

/** Creates a claim, which names the owner and the standby of a new epoch. */
export function makeClaim(fields: ControlFields): JournalRecord {
  return { kind: CLAIM, ...omitMissingStandby(fields) };
}

/** Creates a checkpoint, which repeats the current claim. */
export function makeCheckpoint(fields: ControlFields, completeFrom: number): JournalRecord {
  return { kind: CHECKPOINT, completeFrom, ...omitMissingStandby(fields) };
}

/** Creates a release. The successor is the VM that should claim the released shard. */
export function makeRelease(
  { id, shard, epoch }: Pick<ControlFields, 'id' | 'shard' | 'epoch'>,
  successor: string | undefined,
): JournalRecord {
  const record = { kind: RELEASE, id, shard, epoch };
  return successor === undefined ? record : { ...record, successor };
}

/** Returns the fields by which records identify a process. */
export function holderOf({ name, incarnation, address }: wire.PeerIdentity): ShardHolder {
  return { name, incarnation, address };
}

function omitMissingStandby({ id, shard, epoch, owner, standby }: ControlFields) {
  const fields = { id, shard, epoch, owner };
  return standby === undefined ? fields : { ...fields, standby };
}
