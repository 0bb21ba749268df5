import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

interface KeptRecord {
  readonly appendedAt: clock.Milliseconds;
  readonly payload: string;
}

/** Appends and bytes of one stream. */
export interface StreamCounts {
  appends: number;
  records: number;
  bytes: number;
}

/** The kept records of one stream. */
export class LogStream {
  public readonly records: KeptRecord[] = [];

  /** The offset of the first kept record. */
  public firstOffset = 0;

  public readonly counts: StreamCounts = { appends: 0, records: 0, bytes: 0 };

  public readonly onAppend = new lifetime.Emitter<void>();

  /** The offset that the next record will get. */
  public get tailOffset(): number {
    return this.firstOffset + this.records.length;
  }

  /** Forgets the oldest records. */
  public dropFirst(count: number): void {
    this.records.splice(0, count);
    this.firstOffset += count;
  }
}
