import type * as clock from '@limpettack/clock';
import type {
  AppendOptions,
  AppendReceipt,
  KeyedLog,
  KeyedRecord,
  LogResult,
  NewestPage,
  PartitionName,
  ReadOptions,
  ReadPage,
} from './Types.js';

/** A completed call to the log. */
export interface LogCall {
  readonly call: 'append' | 'newest' | 'read';
  readonly topic: string;
  /** Total size of the values sent or received; 0 for a failed call. */
  readonly bytes: number;
  readonly spanMs: clock.Milliseconds;
  /** `ok`, or the kind of failure. */
  readonly outcome: string;
}

/** Dependencies of a measured log. */
export interface MeasuredLogOptions {
  readonly log: KeyedLog;
  readonly clock: clock.Clock;
  /** Called at the end of each call. */
  readonly observe: (call: LogCall) => void;
}

/** Forwards calls to a log and reports the duration, size and outcome of each. */
export class MeasuredLog implements KeyedLog {
  public constructor(private readonly options: MeasuredLogOptions) {}

  /** @inheritdoc */
  public append(
    partition: PartitionName,
    records: readonly KeyedRecord[],
    options: AppendOptions,
  ): Promise<LogResult<AppendReceipt>> {
    const running = this.options.log.append(partition, records, options);
    return this.measure('append', partition, running, () => sizeOf(records));
  }

  /** @inheritdoc */
  public newest(partition: PartitionName, after?: string): Promise<LogResult<NewestPage>> {
    const running = this.options.log.newest(partition, after);
    return this.measure('newest', partition, running, ({ records }) => sizeOf(records));
  }

  /** @inheritdoc */
  public read(
    partition: PartitionName,
    from: number,
    options: ReadOptions,
  ): Promise<LogResult<ReadPage>> {
    const running = this.options.log.read(partition, from, options);
    return this.measure('read', partition, running, ({ records }) => sizeOf(records));
  }

  private async measure<Value>(
    call: LogCall['call'],
    { topic }: PartitionName,
    running: Promise<LogResult<Value>>,
    size: (value: Value) => number,
  ): Promise<LogResult<Value>> {
    const { clock: time, observe } = this.options;
    const startedAt = time.now();
    const result = await running;
    const bytes = result.isOk ? size(result.value) : 0;
    const outcome = result.isOk ? 'ok' : result.error.kind;
    observe({ call, topic, bytes, spanMs: time.now() - startedAt, outcome });
    return result;
  }
}

function sizeOf(records: readonly KeyedRecord[]): number {
  return records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
}
