import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as lruCache from 'lru-cache';
import * as trueMyth from 'true-myth';
import * as messages from './messages.js';
import * as turnRecords from './turnRecords.js';
import type { Turn, TurnHints, TurnStore } from './Types.js';

/** The topic that holds the turns. */
const TOPIC = 'turns';

/** The longest chain that is followed. */
const LONGEST_CHAIN = 512;

/** Time for a peer to send turns. */
const FETCH_TIMEOUT_MS = 300;

/** Time between two attempts of one append. */
const RETRY_MS = 100;

/** When to come back while the log cannot be reached. */
const COME_BACK_MS = 600;

/** Room for a record's other fields within the log's limit of a record. */
const RECORD_OVERHEAD_BYTES = 1_024;

/** Between two rounds of removals. */
const REMOVAL_INTERVAL_MS = 10_000;

/** Removals of one round at most. */
const REMOVALS_PER_ROUND = 200;

/** Time for a removal to be appended. */
const REMOVAL_TIMEOUT_MS = 2_000;

/** What the store needs. */
export interface LoggedTurnStoreOptions {
  readonly log: keyedLog.KeyedLog;
  readonly network: wire.PeerNetwork;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Unique for each life of the process. */
  readonly producer: string;
  readonly partitionCount: number;
  /** The largest record that the log takes, in bytes. */
  readonly recordBytes: number;
  /** Memory for turns at hand, in bytes. */
  readonly cacheBytes: number;
}

interface KeptTurn {
  readonly keys: readonly string[];
  readonly expiresAt: clock.Milliseconds;
}

/** Keeps turns in the log under their ids; those used lately stay at hand. */
export class LoggedTurnStore implements TurnStore, lifetime.Disposable {
  private readonly cache: lruCache.LRUCache<string, turnRecords.TurnRecord>;

  private readonly writers: readonly keyedLog.PartitionWriter[];

  private readonly served: lifetime.Disposable;

  /** Turns that this process wrote, in the order of their writing. */
  private kept: KeptTurn[] = [];

  private readonly removals: NodeJS.Timeout;

  public constructor(private readonly options: LoggedTurnStoreOptions) {
    const { clock: time, log, logger, partitionCount, producer } = options;
    this.cache = new lruCache.LRUCache({
      maxSize: options.cacheBytes,
      sizeCalculation: ({ content }) => content.length + RECORD_OVERHEAD_BYTES,
    });
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
    this.served = options.network.serve(messages.FETCH_TURNS, async ({ turn, held }) =>
      trueMyth.Result.ok({ turns: [...this.chainAtHand(turn, new Set(held))] }),
    );
    this.removals = setInterval(() => this.removeExpired(), REMOVAL_INTERVAL_MS);
    this.removals.unref();
  }

  /** @inheritdoc */
  public async history(
    turn: string,
    workspace: string,
    hints: TurnHints,
  ): Promise<trueMyth.Result<readonly Uint8Array[], errors.Fault>> {
    const startedAt = this.options.clock.now();
    const contents: Uint8Array[] = [];
    let next: string | undefined = turn;
    while (next !== undefined && contents.length < LONGEST_CHAIN) {
      const found: keyedLog.LogResult<turnRecords.TurnRecord | undefined> = await this.find(
        next,
        hints,
      );
      if (found.isErr) return trueMyth.Result.err(this.unavailable(turn, found.error.message));
      if (found.value === undefined || found.value.workspace !== workspace) {
        return trueMyth.Result.err(this.unknown(turn, next, found.value !== undefined));
      }
      contents.push(found.value.content);
      next = found.value.previous;
    }
    this.options.logger.info('A history was put together.', {
      request: turn,
      count: contents.length,
      bytes: contents.reduce((sum, content) => sum + content.length, 0),
      spanMs: Math.round(this.options.clock.now() - startedAt),
    });
    return trueMyth.Result.ok(contents.reverse());
  }

  /** @inheritdoc */
  public async keep(
    turn: Turn,
    timeoutMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<void, errors.Fault>> {
    const { id, previous, workspace } = turn;
    const parts = this.split(turn.content);
    const records = parts.map((content, index) => ({
      key: turnRecords.partKey(id, index),
      value: turnRecords.encodeTurn({
        id,
        previous,
        workspace,
        content,
        furtherParts: index === 0 ? parts.length - 1 : 0,
      }),
    }));
    const results = await Promise.all(
      records.map((record) => this.writerOf(record.key).append(record, timeoutMs)),
    );
    const failed = results.find((result) => result.isErr);
    if (failed?.isErr) return trueMyth.Result.err(this.unavailable(id, failed.error.message));
    const { content } = turn;
    this.cache.set(id, { id, previous, workspace, content, furtherParts: 0 });
    const expiresAt = this.options.clock.now() + turn.retentionMs;
    this.kept.push({ keys: records.map(({ key }) => key), expiresAt });
    return trueMyth.Result.ok(undefined);
  }

  /** @inheritdoc */
  public dispose(): void {
    clearInterval(this.removals);
    this.writers.forEach((writer) => writer.dispose());
    this.served.dispose();
  }

  private async find(
    turn: string,
    hints: TurnHints,
  ): Promise<keyedLog.LogResult<turnRecords.TurnRecord | undefined>> {
    const known = this.cache.get(turn);
    if (known !== undefined) return trueMyth.Result.ok(known);
    const { writer } = hints;
    if (writer !== undefined && writer !== this.options.network.self.address) {
      const fetched = await this.fetchFrom(writer, turn);
      if (fetched !== undefined) return trueMyth.Result.ok(fetched);
    }
    return this.readTurn(turn);
  }

  /** Fetches a turn and those before it from the peer that wrote it. */
  private async fetchFrom(
    writer: string,
    turn: string,
  ): Promise<turnRecords.TurnRecord | undefined> {
    const options = { timeoutMs: FETCH_TIMEOUT_MS };
    const request = { turn, held: [] };
    const answer = await this.options.network.request(
      writer,
      messages.FETCH_TURNS,
      request,
      options,
    );
    if (answer.isErr) return undefined;
    answer.value.turns.forEach((record) => this.cache.set(record.id, record));
    return answer.value.turns.find(({ id }) => id === turn);
  }

  private *chainAtHand(turn: string, held: ReadonlySet<string>): Generator<turnRecords.TurnRecord> {
    let next: string | undefined = turn;
    while (next !== undefined && !held.has(next)) {
      const record: turnRecords.TurnRecord | undefined = this.cache.get(next);
      if (record === undefined) return;
      yield record;
      next = record.previous;
    }
  }

  private async readTurn(
    turn: string,
  ): Promise<keyedLog.LogResult<turnRecords.TurnRecord | undefined>> {
    const first = await this.readPart(turnRecords.partKey(turn, 0));
    if (first.isErr || first.value === undefined) return first;
    const { furtherParts } = first.value;
    const contents = [first.value.content];
    for (let part = 1; part <= furtherParts; part += 1) {
      const further = await this.readPart(turnRecords.partKey(turn, part));
      if (further.isErr || further.value === undefined) return further;
      contents.push(further.value.content);
    }
    const record = { ...first.value, content: Buffer.concat(contents), furtherParts: 0 };
    this.cache.set(turn, record);
    return trueMyth.Result.ok(record);
  }

  private async readPart(
    key: string,
  ): Promise<keyedLog.LogResult<turnRecords.TurnRecord | undefined>> {
    const { clock: time, logger } = this.options;
    const startedAt = time.now();
    const partition = keyedLog.partitionOf(key, this.options.partitionCount);
    const search = await keyedLog.readNewestOf(
      this.options.log,
      { topic: TOPIC, partition },
      key,
      turnRecords.justBefore(key),
    );
    const spanMs = Math.round(time.now() - startedAt);
    if (search.isErr) {
      logger.info('A turn could not be read from the log.', {
        request: key,
        reason: search.error.message,
        spanMs,
      });
      return trueMyth.Result.err(search.error);
    }
    const { bytes, pages, record } = search.value;
    logger.info('A turn was read from the log.', { request: key, count: pages, bytes, spanMs });
    const value = record?.value;
    return trueMyth.Result.ok(value === undefined ? undefined : turnRecords.decodeTurn(value));
  }

  private split(content: Uint8Array): readonly Uint8Array[] {
    const size = this.options.recordBytes - RECORD_OVERHEAD_BYTES;
    const count = Math.max(1, Math.ceil(content.length / size));
    return Array.from({ length: count }, (_, index) =>
      content.subarray(index * size, (index + 1) * size),
    );
  }

  private writerOf(key: string): keyedLog.PartitionWriter {
    return this.writers[keyedLog.partitionOf(key, this.options.partitionCount)]!;
  }

  /** Removes turns from the log whose time is over; only those that this process wrote. */
  private removeExpired(): void {
    const now = this.options.clock.now();
    const live = this.kept.findIndex(({ expiresAt }) => expiresAt > now);
    const count = Math.min(live < 0 ? this.kept.length : live, REMOVALS_PER_ROUND);
    this.kept
      .splice(0, count)
      .flatMap(({ keys }) => keys)
      .forEach((key) => this.writerOf(key).append({ key }, REMOVAL_TIMEOUT_MS));
  }

  private unavailable(turn: string, reason: string): errors.Fault {
    this.options.logger.warn('The log cannot tell of a turn.', { request: turn, reason });
    return errors.createFault('log-unavailable', undefined, { retryAfterMs: COME_BACK_MS });
  }

  private unknown(turn: string, missing: string, isForeign: boolean): errors.Fault {
    const reason = isForeign ? 'it belongs to another workspace' : `${missing} is not kept`;
    this.options.logger.warn('A turn to go on from is unknown.', { request: turn, reason });
    return errors.createFault('turn-unknown');
  }
}
