import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type { PartitionChanges, PartitionState, StoredRecord } from './Types.js';

/** Maximum number of removed keys held. Peers that read changes learn of removals from them. */
const MAXIMUM_REMOVALS = 1_024;

interface MirroredRecord {
  readonly record: StoredRecord;
  readonly digest: string;
}

/** Dependencies and settings of a mirror. */
export interface PartitionMirrorOptions {
  readonly clock: clock.Clock;
  /** Consecutive records of a key with the same digest are equivalent: only the first is kept. */
  readonly digestOf: (record: StoredRecord) => string;
}

/** An in-memory copy of a partition, from which peers can read changes since an offset. */
export class PartitionMirror implements lifetime.Disposable {
  private readonly records = new Map<string, MirroredRecord>();

  private readonly updateEmitter = new lifetime.Emitter<void>();

  /** Fires when a record changes, or when the log does not respond. */
  public readonly onUpdate = this.updateEmitter.event;

  private position: number | undefined;

  /** Removals before this offset may have been discarded, so earlier changes cannot be served. */
  private firstServableOffset = 0;

  private lastLogReadAt: clock.Milliseconds | undefined;

  public constructor(private readonly options: PartitionMirrorOptions) {}

  /**
   * Time since the last successful direct read of the log, in milliseconds. Infinite if there was
   * none, or if a later read failed.
   */
  public get ageMs(): clock.Milliseconds {
    const { lastLogReadAt } = this;
    return lastLogReadAt === undefined
      ? Number.POSITIVE_INFINITY
      : this.options.clock.now() - lastLogReadAt;
  }

  /** Notes that the mirror has just been updated from the log itself. */
  public noteLogRead(): void {
    this.lastLogReadAt = this.options.clock.now();
  }

  /** Notes that the log does not respond, so the mirror may be out of date. */
  public noteLogUnavailable(): void {
    this.lastLogReadAt = undefined;
    this.updateEmitter.fire();
  }

  /** Applies a listing. Keys that it does not contain are treated as removed. */
  public reset({ endOffset, records }: PartitionState): void {
    const listed = new Set(records.map(({ key }) => key));
    const removed = [...this.records.values()].filter(
      ({ record: { key, value } }) => value !== undefined && !listed.has(key),
    );
    // A listing contains no removals. The last offset before its end is an upper bound of theirs.
    const offset = Math.max(0, endOffset - 1);
    const removals = removed.map(({ record: { key } }) => ({ key, value: undefined, offset }));
    this.apply({ records: [...records, ...removals], nextOffset: endOffset });
  }

  /** Applies changes of the partition. Ignores outdated and equivalent records. */
  public apply({ nextOffset, records }: PartitionChanges): void {
    const updates = records.filter((record) => this.store(record));
    this.position = Math.max(this.position ?? 0, nextOffset);
    this.discardOldRemovals();
    if (updates.length > 0) this.updateEmitter.fire();
  }

  /** Returns the newest record of every key, or undefined before the first read. */
  public state(): PartitionState | undefined {
    if (this.position === undefined) return undefined;
    const records = [...this.records.values()].flatMap(({ record }) =>
      record.value === undefined ? [] : record,
    );
    return { records, endOffset: this.position };
  }

  /**
   * Returns the changes since an offset. Returns undefined before the first read, or if removals
   * since the offset have been discarded.
   */
  public changesSince(from: number): PartitionChanges | undefined {
    if (this.position === undefined || from < this.firstServableOffset) return undefined;
    const records = [...this.records.values()]
      .map(({ record }) => record)
      .filter(({ offset }) => offset >= from)
      .sort((left, right) => left.offset - right.offset);
    return { records, nextOffset: Math.max(from, this.position) };
  }

  /** @inheritdoc */
  public dispose(): void {
    this.updateEmitter.dispose();
  }

  /** Stores a record. Returns false if it is outdated or equivalent to the stored one. */
  private store(record: StoredRecord): boolean {
    const current = this.records.get(record.key);
    const digest = record.value === undefined ? '' : this.digestOf(record);
    if (current !== undefined) {
      if (current.record.offset > record.offset) return false;
      const isRemoval = record.value === undefined;
      if (current.digest === digest && (current.record.value === undefined) === isRemoval)
        return false;
    }
    this.records.set(record.key, { record, digest });
    return true;
  }

  /** A record whose digest cannot be computed is equivalent to no other record. */
  private digestOf(record: StoredRecord): string {
    try {
      return this.options.digestOf(record);
    } catch {
      return `offset ${record.offset}`;
    }
  }

  private discardOldRemovals(): void {
    const removals = [...this.records.values()].filter(({ record }) => record.value === undefined);
    const surplus = removals.length - MAXIMUM_REMOVALS;
    if (surplus <= 0) return;
    removals
      .map(({ record }) => record)
      .sort((left, right) => left.offset - right.offset)
      .slice(0, surplus)
      .forEach(({ key, offset }) => {
        this.records.delete(key);
        this.firstServableOffset = offset + 1;
      });
  }
}
