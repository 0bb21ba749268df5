import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as contentSearches from './ContentSearches.js';
import type * as memoryReservation from './MemoryReservation.js';
import * as readLimiter from './ReadLimiter.js';
import * as turnRecords from './turnRecords.js';
import * as turnsTopic from './turnsTopic.js';

/** Time between two attempts of the same append. */
const RETRY_MS = 100;

/**
 * The part of the log's record limit that is reserved for fields other than the content: the ids of
 * the turn and of up to 16 earlier turns, each of at most 128 characters.
 */
const RECORD_OVERHEAD_BYTES = 4_096;

/**
 * The maximum number of concurrent reads of contents: two thirds of a process's connections to the
 * log, so that appends do not wait for many reads while the log is slow.
 */
const MAXIMUM_CONTENT_READS = 16;

/**
 * Size limit that makes a read return one record: the log always returns the first record of a read
 * completely.
 */
const ONE_RECORD_BYTES = 1;

/** Dependencies and settings of the turn log. */
export interface TurnLogOptions {
  readonly log: keyedLog.KeyedLog;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** The name of the producer; unique for each run of the process. */
  readonly producer: string;
  readonly partitionCount: number;
  /** The maximum size of a record in the log, in bytes. */
  readonly recordBytes: number;
  /** Takes turns that were read beside those that were looked up. */
  readonly onListed?: (turn: turnRecords.TurnRecord) => void;
}

/** A turn, undefined if the log does not hold it, or a failure if the log could not be read. */
export type TurnLookupResult = keyedLog.LogResult<turnRecords.TurnRecord | undefined>;

/** The position of a turn in the log, and the positions of earlier turns of its chain. */
export interface LocatedTurn {
  readonly position: turnRecords.TurnPosition;
  readonly earlier: readonly turnRecords.TurnPosition[];
}

/** A stored turn as its marker describes it, without its content. */
export interface MarkedTurn {
  readonly id: string;
  /** The id of the turn that it continues. */
  readonly previous: string | undefined;
  /** The process that wrote it. Unknown for turns of earlier releases, like the next two. */
  readonly process: string | undefined;
  /** How long it may be needed after it was written if no turn continues it. */
  readonly keepMs: clock.Milliseconds | undefined;
  readonly partCount: number | undefined;
}

/** The failure of a read that finds no memory. */
export const NO_MEMORY: keyedLog.LogFailure = {
  kind: keyedLog.LOG_FAILURES.UNAVAILABLE,
  message: 'The turns of the VM use all the memory that they may use.',
};

/**
 * Stores turns in the log and reads them. Each turn has a record with its content, directly
 * followed by a marker under the turn's id. A search for an id lists only markers, so it stays
 * small however much the log holds. The content is then read separately by its offset.
 */
export class TurnLog implements lifetime.Disposable {
  private readonly writers: readonly keyedLog.PartitionWriter[];

  /** Removals make room in a full log, so they do not wait for other records. */
  private readonly removalWriters: readonly keyedLog.PartitionWriter[];

  private readonly space: keyedLog.LogSpace;

  private readonly contentReadLimiter = new readLimiter.ReadLimiter(MAXIMUM_CONTENT_READS);

  private readonly searches: contentSearches.ContentSearches;

  public constructor(private readonly options: TurnLogOptions) {
    this.searches = new contentSearches.ContentSearches({
      ...options,
      onListed: (records) => records.forEach((record) => this.takeListed(record)),
    });
    this.space = new keyedLog.LogSpace(options);
    this.writers = this.createWriters(options.producer, { space: this.space });
    this.removalWriters = this.createWriters(`${options.producer}.removals`, {});
  }

  /** Whether a turn should begin, since there may be room for it in the log. */
  public admit(): boolean {
    return this.space.admit();
  }

  /**
   * Appends a turn. Resolves with the turn and its offset when the log holds all of its records.
   */
  public async append(
    turn: Omit<turnRecords.TurnRecord, 'offset'>,
    origin: Pick<turnRecords.MarkerRecord, 'process' | 'keepMs'>,
    timeoutMs: clock.Milliseconds,
  ): Promise<keyedLog.LogResult<turnRecords.TurnRecord>> {
    const { earlier, id } = turn;
    const deadline = this.options.clock.now() + timeoutMs;
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
    const marker = { ...origin, earlier, partCount: further.length };
    const records = [
      { key: turnRecords.contentKey(id), value: turnRecords.encode({ ...turn, content, further }) },
      { key: turnRecords.markerKey(id), value: turnRecords.encode(marker) },
    ];
    const remainingMs = deadline - this.options.clock.now();
    const receipt = await writer.appendTogether(records, remainingMs);
    return receipt.map(({ firstOffset }) => ({ ...turn, offset: firstOffset }));
  }

  /** The number of records with further parts of a content of a size in bytes. */
  public countParts(size: number): number {
    return Math.max(0, Math.ceil(size / this.partBytes) - 1);
  }

  /** Removes a turn from the log, with all parts of its content. */
  public async remove(
    turn: string,
    partCount: number,
    timeoutMs: clock.Milliseconds,
  ): Promise<keyedLog.LogResult<keyedLog.AppendReceipt>> {
    const parts = Array.from({ length: partCount }, (_, index) =>
      turnRecords.partKey(turn, index + 1),
    );
    const keys = [turnRecords.markerKey(turn), turnRecords.contentKey(turn), ...parts];
    const records = keys.map((key) => ({ key }));
    const writer = this.removalWriters[keyedLog.partitionOf(turn, this.options.partitionCount)]!;
    return writer.appendTogether(records, timeoutMs);
  }

  /** Lists all turns that the log holds, page by page. Their contents are not read. */
  public async visitAll(
    visit: (turns: readonly MarkedTurn[]) => Promise<void>,
  ): Promise<keyedLog.LogResult<void>> {
    const before = turnRecords.keyBefore(turnRecords.MARKER_PREFIX);
    for (let partition = 0; partition < this.options.partitionCount; partition += 1) {
      const name = { topic: turnsTopic.TURNS_TOPIC, partition };
      const visited = await keyedLog.visitNewestRecords(
        this.options.log,
        name,
        before,
        ({ records }) => visit(records.flatMap(decodeMarkedTurn)),
      );
      if (visited.isErr) return visited;
    }
    return trueMyth.Result.ok(undefined);
  }

  /** Finds the position of a turn by its id. Returns undefined if the turn is not stored. */
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

  /**
   * Reads the turn at a position, including the further parts of its content, and reserves the
   * memory that it takes.
   */
  public async readAt(
    { id, offset }: turnRecords.TurnPosition,
    memory: memoryReservation.MemoryReservation,
  ): Promise<TurnLookupResult> {
    const record = await this.readRecord(id, turnRecords.contentKey(id), offset, memory);
    if (record.isErr) return trueMyth.Result.err(record.error);
    if (record.value?.value === undefined) return trueMyth.Result.ok(undefined);
    const first = turnRecords.decodeContent(record.value.value);
    if (first === undefined) return malformed(id);
    const { further, ...turn } = first;
    const rest = await Promise.all(
      further.map((position, index) =>
        this.readRecord(id, turnRecords.partKey(id, index + 1), position, memory),
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
    this.searches.dispose();
    this.writers.forEach((writer) => writer.dispose());
    this.removalWriters.forEach((writer) => writer.dispose());
  }

  private async readRecord(
    turn: string,
    key: string,
    offset: number,
    memory: memoryReservation.MemoryReservation,
  ): Promise<contentSearches.FoundRecord> {
    const found = await this.findRecord(turn, key, offset);
    if (found.isErr || memory.reserve(found.value?.value?.length ?? 0)) return found;
    return trueMyth.Result.err(NO_MEMORY);
  }

  /**
   * Reads a record by its offset, or by its key if the log has dropped the record at that offset.
   */
  private async findRecord(
    turn: string,
    key: string,
    offset: number,
  ): Promise<contentSearches.FoundRecord> {
    const options = { waitMs: 0, maximumBytes: ONE_RECORD_BYTES };
    const partition = this.partitionOf(turn);
    const page = await this.contentReadLimiter.run(() =>
      this.options.log.read(partition, offset, options),
    );
    if (page.isErr && page.error.kind !== keyedLog.LOG_FAILURES.EXPIRED) {
      return trueMyth.Result.err(page.error);
    }
    const record = page.isOk ? page.value.records[0] : undefined;
    if (record?.key === key) return trueMyth.Result.ok(record);
    return this.searches.find(partition, key);
  }

  /** Passes on a turn that a listing for another one has returned, if its record has all of it. */
  private takeListed({ key, offset, value }: keyedLog.StoredRecord): void {
    if (value === undefined || !turnRecords.isContentKey(key)) return;
    const content = turnRecords.decodeContent(value);
    if (content === undefined || content.further.length > 0) return;
    const { further, ...turn } = content;
    this.options.onListed?.({ ...turn, offset });
  }

  private async findKey(turn: string, key: string): Promise<contentSearches.FoundRecord> {
    const { clock: time, log, logger } = this.options;
    const startedAt = time.now();
    const partition = this.partitionOf(turn);
    const after = turnRecords.keyBefore(key);
    const search = await keyedLog.readNewestRecord(log, partition, key, after);
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

  private createWriters(
    producer: string,
    further: Pick<keyedLog.PartitionWriterOptions, 'space'>,
  ): readonly keyedLog.PartitionWriter[] {
    const { clock: time, log, logger, partitionCount } = this.options;
    return Array.from(
      { length: partitionCount },
      (_, partition) =>
        new keyedLog.PartitionWriter({
          log,
          partition: { topic: turnsTopic.TURNS_TOPIC, partition },
          clock: time,
          logger,
          producer: `${producer}.${partition}`,
          retryMs: RETRY_MS,
          ...further,
        }),
    );
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
    return { topic: turnsTopic.TURNS_TOPIC, partition };
  }

  private writerOf(turn: string): keyedLog.PartitionWriter {
    return this.writers[keyedLog.partitionOf(turn, this.options.partitionCount)]!;
  }
}

function decodeMarkedTurn({ key, value }: keyedLog.StoredRecord): readonly MarkedTurn[] {
  const id = turnRecords.markedTurn(key);
  const marker = value === undefined ? undefined : turnRecords.decodeMarker(value);
  if (id === undefined || marker === undefined) return [];
  const { earlier, keepMs, partCount, process } = marker;
  return [{ id, previous: earlier[0]?.id, process, keepMs, partCount }];
}

/** A malformed record does not show whether the turn is stored, so this is a failure. */
function malformed<Value>(turn: string): keyedLog.LogResult<Value> {
  const message = `The record of turn ${turn} is malformed.`;
  return trueMyth.Result.err({ kind: keyedLog.LOG_FAILURES.LOST, message });
}
