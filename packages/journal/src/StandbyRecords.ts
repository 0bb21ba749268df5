import * as journalRecord from './JournalRecord.js';
import type { RecordId } from './JournalRecord.js';

/** A record that an owner replicated to this process while the log was down. */
export interface ReplicatedRecord {
  readonly id: RecordId;
  readonly body: unknown;
  /** The epoch of the owner that replicated it. */
  readonly epoch: number;
}

/**
 * Replicated records in order of arrival. A standby stores each until it has read it in the log.
 */
export class StandbyRecords {
  private readonly records = new Map<string, ReplicatedRecord>();

  /** Stores a record. A record that is already stored keeps its position. */
  public add(record: ReplicatedRecord): void {
    this.records.set(journalRecord.keyOf(record.id), record);
  }

  /** Removes a record that has been read in the log. */
  public remove(id: RecordId): void {
    this.records.delete(journalRecord.keyOf(id));
  }

  /** Removes and returns the records of owners before the given epoch. */
  public takeBefore(epoch: number): readonly ReplicatedRecord[] {
    const taken = [...this.records.values()].filter((record) => record.epoch < epoch);
    taken.forEach((record) => this.remove(record.id));
    return taken;
  }
}
