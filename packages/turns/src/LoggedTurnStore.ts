import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as wire from '@limpettack/wire';
import * as lruCache from 'lru-cache';
import * as trueMyth from 'true-myth';
import * as messages from './messages.js';
import * as turnLog from './TurnLog.js';
import * as turnRecords from './turnRecords.js';
import * as turnRetention from './TurnRetention.js';
import type { History, Turn, TurnHints, TurnStore } from './Types.js';

/** The longest chain that is put together. */
const LONGEST_CHAIN = 4_096;

/**
 * So many turns before a turn are named in its record, and read beside each other. It covers the
 * usual conversation in one step and keeps the record of a long one small.
 */
const EARLIER_TURNS = 16;

/** Time for a peer to send turns. */
const FETCH_TIMEOUT_MS = 300;

/** When to come back while the log cannot be reached. */
const COME_BACK_MS = 600;

/** Memory that a turn takes beside its content, in bytes. */
const TURN_OVERHEAD_BYTES = 1_024;

/** Time for a removal to be appended. */
const REMOVAL_TIMEOUT_MS = 2_000;

/** What the store needs. */
export interface LoggedTurnStoreOptions extends turnLog.TurnLogOptions {
  readonly network: wire.PeerNetwork;
  /** Memory for turns at hand, in bytes. */
  readonly cacheBytes: number;
}

/** The turns of a chain, the newest first, or the turn at which it breaks off. */
interface Chain {
  readonly turns: readonly turnRecords.TurnRecord[];
  readonly missing: string | undefined;
}

/** Keeps turns in the log under their ids; those used lately stay at hand. */
export class LoggedTurnStore implements TurnStore, lifetime.Disposable {
  private readonly cache: lruCache.LRUCache<string, turnRecords.TurnRecord>;

  private readonly log: turnLog.TurnLog;

  private readonly served: lifetime.Disposable;

  /** Chains that are being put together. Requests that go on from the same turn share the work. */
  private readonly lookUps = new Map<string, Promise<keyedLog.LogResult<Chain>>>();

  private readonly retention: turnRetention.TurnRetention;

  public constructor(private readonly options: LoggedTurnStoreOptions) {
    this.cache = new lruCache.LRUCache({
      maxSize: options.cacheBytes,
      sizeCalculation: ({ content }) => content.length + TURN_OVERHEAD_BYTES,
    });
    this.log = new turnLog.TurnLog(options);
    this.served = options.network.serve(messages.FETCH_TURNS, async ({ turn, held }) =>
      trueMyth.Result.ok({ turns: [...this.chainAtHand(turn, new Set(held))] }),
    );
    this.retention = new turnRetention.TurnRetention({
      ...options,
      remove: ({ id, size }) => this.log.remove(id, size, REMOVAL_TIMEOUT_MS),
    });
  }

  /** @inheritdoc */
  public async history(
    turn: string,
    workspace: string,
    hints: TurnHints,
  ): Promise<trueMyth.Result<History, errors.Fault>> {
    const chain = await this.lookUp(turn, hints);
    if (chain.isErr) return trueMyth.Result.err(this.unavailable(turn, chain.error.message));
    const { missing, turns: records } = chain.value;
    if (records.some((record) => record.workspace !== workspace)) {
      return trueMyth.Result.err(this.unknown(turn, 'it belongs to another workspace'));
    }
    if (missing !== undefined) {
      return trueMyth.Result.err(this.unknown(turn, `${missing} is not kept`));
    }
    if (records.at(-1)?.previous !== undefined) {
      return trueMyth.Result.err(this.unavailable(turn, 'The chain is too long.'));
    }
    const turns = records.map((record) => turnRecords.withoutContent(record));
    const { mostRunMs, retentionMs } = hints;
    if (retentionMs !== undefined) this.retention.keepForRun(turns, retentionMs, mostRunMs);
    const contents = records.map(({ content }) => content).reverse();
    return trueMyth.Result.ok({ contents, turns });
  }

  /** @inheritdoc */
  public async keep(
    turn: Turn,
    timeoutMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<void, errors.Fault>> {
    const { content, earlier: chain = [], id, previous, retentionMs, workspace } = turn;
    const nearest = chain.slice(0, EARLIER_TURNS);
    const earlier = nearest.map(({ id: turnId, offset }) => ({ id: turnId, offset }));
    const writer = this.options.network.self.address;
    const writtenAt = this.options.clock.timeOfDay();
    const record = { id, previous, workspace, content, earlier, writer, writtenAt };
    const appended = await this.log.append(record, timeoutMs);
    if (appended.isErr) return trueMyth.Result.err(this.unavailable(id, appended.error.message));
    this.cache.set(id, appended.value);
    this.retention.keep({ id, size: content.length }, chain, retentionMs);
    return trueMyth.Result.ok(undefined);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.retention.dispose();
    this.log.dispose();
    this.served.dispose();
  }

  private async lookUp(turn: string, hints: TurnHints): Promise<keyedLog.LogResult<Chain>> {
    const joined = await this.lookUps.get(turn);
    // A look-up that began before this request may have missed a turn that was kept since.
    if (joined !== undefined && (joined.isErr || joined.value.missing === undefined)) return joined;
    return this.lookUps.get(turn) ?? this.startLookUp(turn, hints);
  }

  private startLookUp(turn: string, hints: TurnHints): Promise<keyedLog.LogResult<Chain>> {
    const started = this.putTogether(turn, hints).finally(() => this.lookUps.delete(turn));
    this.lookUps.set(turn, started);
    return started;
  }

  /** Reads the turns of a chain, the newest first, those named in its records beside each other. */
  private async putTogether(turn: string, hints: TurnHints): Promise<keyedLog.LogResult<Chain>> {
    const startedAt = this.options.clock.now();
    const turns: turnRecords.TurnRecord[] = [];
    const ahead = new Map<string, Promise<turnLog.FoundTurn>>();
    let next: string | undefined = turn;
    let missing: string | undefined;
    while (next !== undefined && missing === undefined && turns.length < LONGEST_CHAIN) {
      const found: turnLog.FoundTurn = await (ahead.get(next) ?? this.find(next, hints, ahead));
      if (found.isErr) return trueMyth.Result.err(found.error);
      const record: turnRecords.TurnRecord | undefined = found.value;
      if (record === undefined) {
        missing = next;
      } else {
        turns.push(record);
        this.readAhead(record.earlier, ahead);
        next = record.previous;
      }
    }
    this.logChain(turn, turns, startedAt);
    return trueMyth.Result.ok({ turns, missing });
  }

  /** Begins to read turns that are not at hand. */
  private readAhead(
    positions: readonly turnRecords.TurnPosition[],
    ahead: Map<string, Promise<turnLog.FoundTurn>>,
  ): void {
    positions
      .filter(({ id }) => !this.cache.has(id) && !ahead.has(id))
      .forEach((position) => ahead.set(position.id, this.remembered(this.log.readAt(position))));
  }

  private async find(
    turn: string,
    hints: TurnHints,
    ahead: Map<string, Promise<turnLog.FoundTurn>>,
  ): Promise<turnLog.FoundTurn> {
    const known = this.cache.get(turn);
    if (known !== undefined) return trueMyth.Result.ok(known);
    const { writer } = hints;
    if (writer !== undefined && writer !== this.options.network.self.address) {
      const fetched = await this.fetchFrom(writer, turn);
      if (fetched !== undefined) return trueMyth.Result.ok(fetched);
    }
    const located = await this.log.locate(turn);
    if (located.isErr) return trueMyth.Result.err(located.error);
    if (located.value === undefined) return trueMyth.Result.ok(undefined);
    const { earlier, position } = located.value;
    const reading = this.remembered(this.log.readAt(position));
    this.readAhead(earlier, ahead);
    return reading;
  }

  private async remembered(reading: Promise<turnLog.FoundTurn>): Promise<turnLog.FoundTurn> {
    const found = await reading;
    if (found.isOk && found.value !== undefined) this.cache.set(found.value.id, found.value);
    return found;
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

  private logChain(
    turn: string,
    turns: readonly turnRecords.TurnRecord[],
    startedAt: clock.Milliseconds,
  ): void {
    this.options.logger.info('A history was put together.', {
      request: turn,
      count: turns.length,
      bytes: turns.reduce((sum, { content }) => sum + content.length, 0),
      spanMs: Math.round(this.options.clock.now() - startedAt),
    });
  }

  private unavailable(turn: string, reason: string): errors.Fault {
    this.options.logger.warn('The log cannot tell of a turn.', { request: turn, reason });
    return errors.createFault('log-unavailable', undefined, { retryAfterMs: COME_BACK_MS });
  }

  private unknown(turn: string, reason: string): errors.Fault {
    this.options.logger.warn('A turn to go on from is unknown.', { request: turn, reason });
    return errors.createFault('turn-unknown');
  }
}
