import type * as wire from '@limpettack/wire';
import type { JournalRecord, RecordId } from './JournalRecord.js';
import * as recordKinds from './RecordKinds.js';
import type { ShardHolder } from './Types.js';

const { CLAIM, RELEASE, CHECKPOINT } = recordKinds.RECORD_KINDS;

/** What each control record says: which shard, under which epoch, by which process. */
export interface ControlSubject {
  readonly id: RecordId;
  readonly shard: number;
  readonly epoch: number;
  readonly owner: ShardHolder;
  readonly standby: ShardHolder | undefined;
}

/** A record that names the owner and the standby of a new epoch. */
export function makeClaim(subject: ControlSubject): JournalRecord {
  return { kind: CLAIM, ...withoutAbsent(subject) };
}

/** A record that repeats the claim in force. */
export function makeCheckpoint(subject: ControlSubject, completeFrom: number): JournalRecord {
  return { kind: CHECKPOINT, completeFrom, ...withoutAbsent(subject) };
}

/** A record by which the owner gives the shard up. */
export function makeRelease(
  { id, shard, epoch }: Pick<ControlSubject, 'id' | 'shard' | 'epoch'>,
  successor: string | undefined,
): JournalRecord {
  const record = { kind: RELEASE, id, shard, epoch };
  return successor === undefined ? record : { ...record, successor };
}

/** What records say of a process. */
export function holderOf({ name, incarnation, address }: wire.PeerIdentity): ShardHolder {
  return { name, incarnation, address };
}

function withoutAbsent({ id, shard, epoch, owner, standby }: ControlSubject) {
  const subject = { id, shard, epoch, owner };
  return standby === undefined ? subject : { ...subject, standby };
}
