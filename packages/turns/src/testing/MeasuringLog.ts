import type * as keyedLog from '@limpettack/keyed-log';
import * as keyedLogTesting from '@limpettack/keyed-log/testing';

/** A log in memory that measures the largest appended record. */
export class MeasuringLog extends keyedLogTesting.MemoryKeyedLog {
  public largestRecord = 0;

  public override append(
    ...[partition, records, options]: Parameters<keyedLog.KeyedLog['append']>
  ): ReturnType<keyedLog.KeyedLog['append']> {
    // A stored record consists of one byte for the length of the key, the key and the value.
    const sizes = records.map(
      ({ key, value }) => 1 + Buffer.byteLength(key) + (value?.length ?? 0),
    );
    this.largestRecord = Math.max(this.largestRecord, ...sizes);
    return super.append(partition, records, options);
  }
}
