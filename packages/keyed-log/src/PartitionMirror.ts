import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type { PartitionChanges, PartitionState, StoredRecord } from './Types.js';

/** Removed keys that are remembered, so that those who read on learn of the removal. */
const REMOVALS_KEPT = 1_024;

interface MirroredRecord {
  readonly record: StoredRecord;
  readonly digest: string;
}

/** What the mirror needs. */
export interface PartitionMirrorOptions {
  readonly clock: clock.Clock;
  /** Records of a key with the same digest say the same, so only the first of them is news. */
  readonly digestOf: (record: StoredRecord) => string;
}

/** What a process knows of a partition, kept so that peers can read on from any offset. */
export class PartitionMirror implements lifetime.Disposable {
  private readonly records = new Map<string, MirroredRecord>();

  private readonly newsEmitter = new lifetime.Emitter<void>();

  /** Fires when there is news, or when the log does not answer. */
  public readonly onNews = this.newsEmitter.event;

  private position: number | undefined;

  /** Removals before this offset have been forgotten. */
  private firstOffset = 0;

  private readAt: clock.Milliseconds | undefined;

  public constructor(private readonly options: PartitionMirrorOptions) {}

  /** How long ago the log itself was last read, in milliseconds; infinite if it never was. */
  public get ageMs(): clock.Milliseconds {
    const { readAt } = this;
    return readAt === undefined ? Number.POSITIVE_INFINITY : this.options.clock.now() - readAt;
  }

  /** Notes that all that is known here was read from the log just now. */
  public noteRead(): void {
    this.readAt = this.options.clock.now();
  }

  /** Notes that the log does not answer, so that what is known here may be out of date. */
  public noteAway(): void {
    this.readAt = undefined;
    this.newsEmitter.fire();
  }

  /** Replaces what is known by a listing. */
  public reset({ endOffset, records }: PartitionState): void {
    const listed = new Set(records.map(({ key }) => key));
    const removed = [...this.records.values()].filter(
      ({ record: { key, value } }) => value !== undefined && !listed.has(key),
    );
    // A listing does not say when a key was removed: at its end at the latest.
    const offset = Math.max(0, endOffset - 1);
    const removals = removed.map(({ record: { key } }) => ({ key, value: undefined, offset }));
    this.take({ records: [...records, ...removals], nextOffset: endOffset });
  }

  /** Takes in what came to the partition. */
  public take({ nextOffset, records }: PartitionChanges): void {
    const news = records.filter((record) => this.store(record));
    this.position = Math.max(this.position ?? 0, nextOffset);
    this.forgetRemovals();
    if (news.length > 0) this.newsEmitter.fire();
  }

  /** All keys with their newest records; nothing before the first read. */
  public state(): PartitionState | undefined {
    if (this.position === undefined) return undefined;
    const records = [...this.records.values()].flatMap(({ record }) =>
      record.value === undefined ? [] : record,
    );
    return { records, endOffset: this.position };
  }

  /** What came since an offset; nothing when that cannot be told. */
  public changesSince(from: number): PartitionChanges | undefined {
    if (this.position === undefined || from < this.firstOffset) return undefined;
    const records = [...this.records.values()]
      .map(({ record }) => record)
      .filter(({ offset }) => offset >= from)
      .sort((left, right) => left.offset - right.offset);
    return { records, nextOffset: Math.max(from, this.position) };
  }

  /** @inheritdoc */
  public dispose(): void {
    this.newsEmitter.dispose();
  }

  /** Whether the record was news. */
  private store(record: StoredRecord): boolean {
    const known = this.records.get(record.key);
    const digest = record.value === undefined ? '' : this.options.digestOf(record);
    if (known !== undefined) {
      if (known.record.offset > record.offset) return false;
      const isRemoval = record.value === undefined;
      if (known.digest === digest && (known.record.value === undefined) === isRemoval) return false;
    }
    this.records.set(record.key, { record, digest });
    return true;
  }

  private forgetRemovals(): void {
    const removals = [...this.records.values()].filter(({ record }) => record.value === undefined);
    const surplus = removals.length - REMOVALS_KEPT;
    if (surplus <= 0) return;
    removals
      .map(({ record }) => record)
      .sort((left, right) => left.offset - right.offset)
      .slice(0, surplus)
      .forEach(({ key, offset }) => {
        this.records.delete(key);
        this.firstOffset = offset + 1;
      });
  }
}
