import * as journalRecord from './JournalRecord.js';
import type { RecordId } from './JournalRecord.js';

/** A record that an owner copied here while the log was down. */
export interface ReplicatedRecord {
  readonly id: RecordId;
  readonly body: unknown;
  /** The epoch of the owner that copied it. */
  readonly epoch: number;
}

/** Records that this standby holds until it reads them in the log, in the order of arrival. */
export class StandbyRecords {
  private readonly records = new Map<string, ReplicatedRecord>();

  /** Holds a record; one that is held already keeps its place. */
  public add(record: ReplicatedRecord): void {
    this.records.set(journalRecord.keyOf(record.id), record);
  }

  /** Forgets a record that the log holds. */
  public forget(id: RecordId): void {
    this.records.delete(journalRecord.keyOf(id));
  }

  /** Returns the records of owners before the given epoch and forgets them. */
  public takeBefore(epoch: number): readonly ReplicatedRecord[] {
    const taken = [...this.records.values()].filter((record) => record.epoch < epoch);
    taken.forEach((record) => this.forget(record.id));
    return taken;
  }
}
