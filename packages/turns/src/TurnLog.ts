import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as readLanes from './ReadLanes.js';
import * as turnRecords from './turnRecords.js';

/** The topic that holds the turns. */
const TOPIC = 'kept-turns';

/** Time between two attempts of one append. */
const RETRY_MS = 100;

/**
 * Room for a record's other fields within the log's limit of a record: the ids of the turn and of
 * 16 turns before it, each of 128 characters at most.
 */
const RECORD_OVERHEAD_BYTES = 4_096;

/**
 * Reads of contents at one time: two thirds of the connections to the log that a process has, since
 * appends must not wait for many reads while the log is slow.
 */
const CONTENT_READS = 16;

/**
 * Searches of contents by their keys at one time. Each brings up to a megabyte, and two at once take
 * longer than a call may over the link of a small VM.
 */
const CONTENT_SEARCHES = 1;

/** A read of one record names no more; the first record of a read always comes whole. */
const ONE_RECORD_BYTES = 1;

/** What the turns in the log need. */
export interface TurnLogOptions {
  readonly log: keyedLog.KeyedLog;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Unique for each life of the process. */
  readonly producer: string;
  readonly partitionCount: number;
  /** The largest record that the log takes, in bytes. */
  readonly recordBytes: number;
}

/** A turn that is in the log or not; a failure when that could not be read. */
export type FoundTurn = keyedLog.LogResult<turnRecords.TurnRecord | undefined>;

/** Where a turn lies, and the turns before it. */
export interface LocatedTurn {
  readonly position: turnRecords.TurnPosition;
  readonly earlier: readonly turnRecords.TurnPosition[];
}

type FoundRecord = keyedLog.LogResult<keyedLog.StoredRecord | undefined>;

/**
 * The turns in the log. Each has a record with its content, and behind it a marker under the turn's
 * id. A listing in search of an id meets markers only, so it is small however much is kept; the
 * content is then read alone by its offset.
 */
export class TurnLog implements lifetime.Disposable {
  private readonly writers: readonly keyedLog.PartitionWriter[];

  private readonly contentReads = new readLanes.ReadLanes(CONTENT_READS);

  private readonly contentSearches = new readLanes.ReadLanes(CONTENT_SEARCHES);

  public constructor(private readonly options: TurnLogOptions) {
    const { clock: time, log, logger, partitionCount, producer } = options;
    this.writers = Array.from(
      { length: partitionCount },
      (_, partition) =>
        new keyedLog.PartitionWriter({
          log,
          partition: { topic: TOPIC, partition },
          clock: time,
          logger,
          producer: `${producer}.${partition}`,
          retryMs: RETRY_MS,
        }),
    );
  }

  /** Appends a turn. Resolves when the log holds it whole, with where it lies. */
  public async append(
    turn: Omit<turnRecords.TurnRecord, 'offset'>,
    timeoutMs: clock.Milliseconds,
  ): Promise<keyedLog.LogResult<turnRecords.TurnRecord>> {
    const { earlier, id } = turn;
    const latest = this.options.clock.now() + timeoutMs;
    const writer = this.writerOf(id);
    const [content = turn.content, ...rest] = this.split(turn.content);
    const appended = await Promise.all(
      rest.map((value, index) =>
        writer.append({ key: turnRecords.partKey(id, index + 1), value }, timeoutMs),
      ),
    );
    const further: number[] = [];
    for (const receipt of appended) {
      if (receipt.isErr) return trueMyth.Result.err(receipt.error);
      further.push(receipt.value.firstOffset);
    }
    const records = [
      { key: turnRecords.contentKey(id), value: turnRecords.encode({ ...turn, content, further }) },
      { key: turnRecords.markerKey(id), value: turnRecords.encode({ earlier }) },
    ];
    const leftMs = latest - this.options.clock.now();
    const receipt = await writer.appendTogether(records, leftMs);
    return receipt.map(({ firstOffset }) => ({ ...turn, offset: firstOffset }));
  }

  /** Takes a turn out of the log. */
  public async remove(turn: string, size: number, timeoutMs: clock.Milliseconds): Promise<void> {
    const further = Math.max(0, Math.ceil(size / this.partBytes) - 1);
    const parts = Array.from({ length: further }, (_, index) =>
      turnRecords.partKey(turn, index + 1),
    );
    const keys = [turnRecords.markerKey(turn), turnRecords.contentKey(turn), ...parts];
    const records = keys.map((key) => ({ key }));
    await this.writerOf(turn).appendTogether(records, timeoutMs);
  }

  /** Finds where a turn lies by its id; nothing when it is not kept. */
  public async locate(turn: string): Promise<keyedLog.LogResult<LocatedTurn | undefined>> {
    const marker = await this.findKey(turn, turnRecords.markerKey(turn));
    if (marker.isErr) return trueMyth.Result.err(marker.error);
    if (marker.value?.value === undefined) return trueMyth.Result.ok(undefined);
    const { offset, value } = marker.value;
    const decoded = turnRecords.decodeMarker(value);
    if (decoded === undefined) return malformed(turn);
    const position = { id: turn, offset: offset - 1 };
    return trueMyth.Result.ok({ position, earlier: decoded.earlier });
  }

  /** Reads the turn at a position. */
  public async readAt({ id, offset }: turnRecords.TurnPosition): Promise<FoundTurn> {
    const record = await this.readRecord(id, turnRecords.contentKey(id), offset);
    if (record.isErr) return trueMyth.Result.err(record.error);
    if (record.value?.value === undefined) return trueMyth.Result.ok(undefined);
    const first = turnRecords.decodeContent(record.value.value);
    if (first === undefined) return malformed(id);
    const { further, ...turn } = first;
    const rest = await Promise.all(
      further.map((position, index) =>
        this.readRecord(id, turnRecords.partKey(id, index + 1), position),
      ),
    );
    const contents = [turn.content];
    for (const part of rest) {
      if (part.isErr) return trueMyth.Result.err(part.error);
      if (part.value?.value === undefined) return trueMyth.Result.ok(undefined);
      contents.push(part.value.value);
    }
    return trueMyth.Result.ok({ ...turn, content: Buffer.concat(contents), offset });
  }

  /** @inheritdoc */
  public dispose(): void {
    this.writers.forEach((writer) => writer.dispose());
  }

  /** Reads one record by its offset, and by its key where the log no longer keeps its history. */
  private async readRecord(turn: string, key: string, offset: number): Promise<FoundRecord> {
    const options = { waitMs: 0, maximumBytes: ONE_RECORD_BYTES };
    const partition = this.partitionOf(turn);
    const page = await this.contentReads.run(() =>
      this.options.log.read(partition, offset, options),
    );
    if (page.isErr && page.error.kind !== keyedLog.LOG_FAILURES.EXPIRED) {
      return trueMyth.Result.err(page.error);
    }
    const record = page.isOk ? page.value.records[0] : undefined;
    if (record?.key === key) return trueMyth.Result.ok(record);
    return this.contentSearches.run(() => this.findKey(turn, key));
  }

  private async findKey(turn: string, key: string): Promise<FoundRecord> {
    const { clock: time, log, logger } = this.options;
    const startedAt = time.now();
    const partition = this.partitionOf(turn);
    const after = turnRecords.justBefore(key);
    const search = await keyedLog.readNewestOf(log, partition, key, after);
    const spanMs = Math.round(time.now() - startedAt);
    if (search.isErr) {
      const reason = search.error.message;
      logger.warn('A turn could not be looked up in the log.', { request: turn, reason, spanMs });
      return trueMyth.Result.err(search.error);
    }
    const { bytes, pages, record } = search.value;
    const kind = record === undefined ? 'absent' : 'found';
    const fields = { request: turn, kind, count: pages, bytes, spanMs };
    logger.info('A turn was looked up in the log.', fields);
    return trueMyth.Result.ok(record);
  }

  private get partBytes(): number {
    return this.options.recordBytes - RECORD_OVERHEAD_BYTES;
  }

  private split(content: Uint8Array): readonly Uint8Array[] {
    const count = Math.max(1, Math.ceil(content.length / this.partBytes));
    return Array.from({ length: count }, (_, index) =>
      content.subarray(index * this.partBytes, (index + 1) * this.partBytes),
    );
  }

  private partitionOf(turn: string): keyedLog.PartitionName {
    const partition = keyedLog.partitionOf(turn, this.options.partitionCount);
    return { topic: TOPIC, partition };
  }

  private writerOf(turn: string): keyedLog.PartitionWriter {
    return this.writers[keyedLog.partitionOf(turn, this.options.partitionCount)]!;
  }
}

/** A record that cannot be read says nothing about whether the turn is kept. */
function malformed<Value>(turn: string): keyedLog.LogResult<Value> {
  const message = `The record of turn ${turn} is malformed.`;
  return trueMyth.Result.err({ kind: keyedLog.LOG_FAILURES.LOST, message });
}
