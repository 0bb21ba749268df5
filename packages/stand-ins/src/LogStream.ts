import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

interface RetainedRecord {
  readonly appendedAt: clock.Milliseconds;
  readonly payload: string;
}

/** Number of appends, records and bytes of one stream, including expired records. */
export interface StreamCounts {
  appends: number;
  records: number;
  bytes: number;
}

/** The retained records of one stream. */
export class LogStream {
  public readonly records: RetainedRecord[] = [];

  /** Offset of the first retained record. */
  public firstOffset = 0;

  public readonly counts: StreamCounts = { appends: 0, records: 0, bytes: 0 };

  public readonly onAppend = new lifetime.Emitter<void>();

  /** Offset of the next appended record. */
  public get tailOffset(): number {
    return this.firstOffset + this.records.length;
  }

  /** Discards the oldest records. */
  public discardOldest(count: number): void {
    this.records.splice(0, count);
    this.firstOffset += count;
  }
}
