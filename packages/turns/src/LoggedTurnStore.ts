import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import type * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as lruCache from 'lru-cache';
import * as trueMyth from 'true-myth';
import * as leftoverRemoval from './LeftoverRemoval.js';
import type * as memoryReservation from './MemoryReservation.js';
import * as messages from './messages.js';
import type * as turnMemory from './TurnMemory.js';
import * as turnLog from './TurnLog.js';
import * as turnRecords from './turnRecords.js';
import * as turnRetention from './TurnRetention.js';
import type { History, Turn, TurnHints, TurnStore } from './Types.js';

/** Maximum number of turns in a chain. The lookup of a longer chain fails. */
const MAXIMUM_CHAIN_TURNS = 4_096;

/**
 * Maximum number of earlier turns whose positions are stored in the record of a turn, so that they
 * can be read concurrently. This is enough to read a usual conversation in one step and keeps the
 * records of a long one small.
 */
const MAXIMUM_EARLIER_TURNS = 16;

/** Time limit for a peer to send turns. */
const FETCH_TIMEOUT_MS = 300;

/** Maximum size of the turns that are sent to a peer at once. It reads the others from the log. */
const MAXIMUM_FETCH_BYTES = 1024 * 1024;

/** Maximum size of the turns that are being sent to all peers. */
const MAXIMUM_SENDING_BYTES = 8 * 1024 * 1024;

/** Retry delay suggested to callers while the log cannot be reached. */
const RETRY_AFTER_MS = 600;

/** Memory that a cached turn takes in addition to its content, in bytes. */
const TURN_OVERHEAD_BYTES = 1_024;

/** Time limit for the append of a removal. */
const REMOVAL_TIMEOUT_MS = 2_000;

/** Time limit for the confirmation of removals, which waits for a listing of all turns. */
const CONFIRMATION_TIMEOUT_MS = 30_000;

/** Dependencies and limits of the store. */
export interface LoggedTurnStoreOptions extends turnLog.TurnLogOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'onChange'>;
  /** Memory for cached turns, in bytes. */
  readonly cacheBytes: number;
  readonly memory: turnMemory.TurnMemory;
}

/** A turn and the turns that it continues, as far as they were found. */
interface Chain {
  /** The turns that were found, newest first. */
  readonly turns: readonly turnRecords.TurnRecord[];
  /** The first turn that is not stored; undefined if none is missing. */
  readonly missing: string | undefined;
}

/** The state of one lookup. */
interface Lookup extends TurnHints {
  readonly pendingReads: Map<string, Promise<turnLog.TurnLookupResult>>;
  /** The reads that have not ended. */
  readonly runningReads: Set<unknown>;
  readonly memory: memoryReservation.MemoryReservation;
}

/** Stores turns in the log under their ids and caches recently used ones. */
export class LoggedTurnStore implements TurnStore, lifetime.Disposable {
  private readonly cache: lruCache.LRUCache<string, turnRecords.TurnRecord>;

  private readonly log: turnLog.TurnLog;

  private readonly servedMethods: readonly lifetime.Disposable[];

  /** Running lookups by turn. Requests that continue the same turn share one lookup. */
  private readonly lookups = new Map<string, Promise<keyedLog.LogResult<Chain>>>();

  private readonly retention: turnRetention.TurnRetention;

  private readonly leftovers: leftoverRemoval.LeftoverRemoval;

  /** Size of the turns that are being sent to peers. */
  private sendingBytes = 0;

  public constructor(private readonly options: LoggedTurnStoreOptions) {
    this.cache = new lruCache.LRUCache({
      maxSize: options.cacheBytes,
      sizeCalculation: ({ content }) => content.length + TURN_OVERHEAD_BYTES,
    });
    this.log = new turnLog.TurnLog({ ...options, onListed: (turn) => this.cacheIfRoom(turn) });
    this.servedMethods = [
      options.network.serve(messages.FETCH_TURNS, async ({ turn, held }) =>
        trueMyth.Result.ok({ turns: this.takeForPeer(this.cachedChain(turn, new Set(held))) }),
      ),
      options.network.serve(messages.CONFIRM_REMOVAL, async ({ turns }) =>
        trueMyth.Result.ok({ removable: [...(await this.leftovers.confirm(turns))] }),
      ),
    ];
    this.retention = new turnRetention.TurnRetention({
      ...options,
      remove: async ({ id, size }) =>
        (await this.log.remove(id, this.log.countParts(size), REMOVAL_TIMEOUT_MS)).isOk,
      confirmRemoval: (turns) => this.confirmRemoval(turns),
    });
    this.leftovers = new leftoverRemoval.LeftoverRemoval({ ...options, log: this.log });
  }

  /** @inheritdoc */
  public admit(): boolean {
    return this.log.admit();
  }

  /** @inheritdoc */
  public async history(
    turn: string,
    workspace: string,
    hints: TurnHints,
  ): Promise<trueMyth.Result<History, errors.Fault>> {
    const chain = await this.lookup(turn, hints);
    if (chain.isErr) return trueMyth.Result.err(this.lookupFault(turn, chain.error));
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
    if (retentionMs !== undefined) this.retention.extendForRun(turns, retentionMs, mostRunMs);
    const contents = records.map(({ content }) => content).reverse();
    return trueMyth.Result.ok({ contents, turns });
  }

  /** @inheritdoc */
  public async keep(
    turn: Turn,
    timeoutMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<void, errors.Fault>> {
    const { content, earlier: chain = [], id, maximumRunMs, previous, workspace } = turn;
    const { retentionMs } = turn;
    const nearest = chain.slice(0, MAXIMUM_EARLIER_TURNS);
    const earlier = nearest.map(({ id: turnId, offset }) => ({ id: turnId, offset }));
    const writer = this.options.network.self.address;
    const writtenAt = this.options.clock.timeOfDay();
    const record = { id, previous, workspace, content, earlier, writer, writtenAt };
    const process = leftoverRemoval.nameProcess(this.options.network.self);
    const origin = { process, keepMs: retentionMs + maximumRunMs };
    const appended = await this.log.append(record, origin, timeoutMs);
    if (appended.isErr) {
      // The log may hold the records all the same, or some of them.
      this.retention.retain({ id, size: content.length }, [], retentionMs);
      return trueMyth.Result.err(this.unavailable(id, appended.error.message));
    }
    this.cache.set(id, appended.value);
    this.retention.retain({ id, size: content.length }, chain, retentionMs);
    return trueMyth.Result.ok(undefined);
  }

  /** Drops the cached turns to release their memory. They are read again when they are needed. */
  public dropCached(): void {
    this.cache.clear();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.leftovers.dispose();
    this.retention.dispose();
    this.log.dispose();
    this.servedMethods.forEach((method) => method.dispose());
  }

  /** Asks the VM that lists the turns which expired ones can be removed; none if it does not respond. */
  private async confirmRemoval(turns: readonly string[]): Promise<readonly string[]> {
    const { logger, membership: members, network } = this.options;
    const remover = leftoverRemoval.chooseRemover(members.available());
    if (remover === undefined || remover.address === network.self.address) {
      return this.leftovers.confirm(turns);
    }
    const options = { timeoutMs: CONFIRMATION_TIMEOUT_MS };
    const request = { turns: [...turns] };
    const { CONFIRM_REMOVAL } = messages;
    const response = await network.request(remover.address, CONFIRM_REMOVAL, request, options);
    if (response.isOk) return response.value.removable;
    logger.info('The removal of expired turns could not be confirmed and will be checked again.', {
      peer: remover.address,
      count: turns.length,
      reason: response.error.message,
    });
    return [];
  }

  private async lookup(turn: string, hints: TurnHints): Promise<keyedLog.LogResult<Chain>> {
    const joined = await this.lookups.get(turn);
    // A lookup that began before this request may have missed a turn that was stored since then.
    if (joined !== undefined && (joined.isErr || joined.value.missing === undefined)) return joined;
    return this.lookups.get(turn) ?? this.startLookup(turn, hints);
  }

  private startLookup(turn: string, hints: TurnHints): Promise<keyedLog.LogResult<Chain>> {
    const started = this.readChain(turn, hints).finally(() => this.lookups.delete(turn));
    this.lookups.set(turn, started);
    return started;
  }

  /**
   * Reads a chain, newest turn first. The earlier turns whose positions a record contains are read
   * concurrently.
   */
  private async readChain(turn: string, hints: TurnHints): Promise<keyedLog.LogResult<Chain>> {
    const memory = this.options.memory.open();
    const lookup = { ...hints, memory, pendingReads: new Map(), runningReads: new Set<unknown>() };
    try {
      return await this.followChain(turn, lookup);
    } finally {
      releaseAfterReads(lookup);
    }
  }

  private async followChain(turn: string, lookup: Lookup): Promise<keyedLog.LogResult<Chain>> {
    const { pendingReads } = lookup;
    const startedAt = this.options.clock.now();
    const turns: turnRecords.TurnRecord[] = [];
    let next: string | undefined = turn;
    let missing: string | undefined;
    while (next !== undefined && missing === undefined && turns.length < MAXIMUM_CHAIN_TURNS) {
      const found: turnLog.TurnLookupResult = await (pendingReads.get(next) ??
        this.find(next, lookup));
      if (found.isErr) return trueMyth.Result.err(found.error);
      const record: turnRecords.TurnRecord | undefined = found.value;
      if (record === undefined) {
        missing = next;
      } else {
        turns.push(record);
        this.readAhead(record.earlier, lookup);
        next = record.previous;
      }
    }
    this.logChain(turn, turns, startedAt);
    return trueMyth.Result.ok({ turns, missing });
  }

  /** Starts to read turns that are neither cached nor being read. */
  private readAhead(positions: readonly turnRecords.TurnPosition[], lookup: Lookup): void {
    const { pendingReads } = lookup;
    positions
      .filter(({ id }) => !this.cache.has(id) && !pendingReads.has(id))
      .forEach((position) => pendingReads.set(position.id, this.read(position, lookup)));
  }

  /** Finds a turn in the cache, at the peer that wrote it, or in the log. */
  private async find(turn: string, lookup: Lookup): Promise<turnLog.TurnLookupResult> {
    const { memory, writer } = lookup;
    const known = this.cache.get(turn);
    if (known !== undefined) return reserveFor(known, memory);
    if (writer !== undefined && writer !== this.options.network.self.address) {
      const fetched = await this.fetchFrom(writer, turn);
      if (fetched !== undefined) return reserveFor(fetched, memory);
    }
    const located = await this.log.locate(turn);
    if (located.isErr) return trueMyth.Result.err(located.error);
    if (located.value === undefined) return trueMyth.Result.ok(undefined);
    const { earlier, position } = located.value;
    const reading = this.read(position, lookup);
    this.readAhead(earlier, lookup);
    return reading;
  }

  /** Caches a turn that was not looked up, unless others would have to yield to it. */
  private cacheIfRoom(turn: turnRecords.TurnRecord): void {
    const size = this.cache.calculatedSize + turn.content.length + TURN_OVERHEAD_BYTES;
    if (size > this.options.cacheBytes || this.cache.has(turn.id)) return;
    // The content is a view of the whole record.
    this.cache.set(turn.id, { ...turn, content: Buffer.from(turn.content) });
  }

  /** Reads a turn from the log and caches it. */
  private async read(
    position: turnRecords.TurnPosition,
    { memory, runningReads }: Lookup,
  ): Promise<turnLog.TurnLookupResult> {
    const reading = this.log.readAt(position, memory);
    runningReads.add(reading);
    const found = await reading;
    runningReads.delete(reading);
    if (found.isOk && found.value !== undefined) this.cache.set(found.value.id, found.value);
    return found;
  }

  /**
   * Fetches a turn and the turns that it continues from the VM that wrote it, and caches them.
   * Returns undefined if the request fails or the VM does not cache the turn.
   */
  private async fetchFrom(
    writer: string,
    turn: string,
  ): Promise<turnRecords.TurnRecord | undefined> {
    const options = { timeoutMs: FETCH_TIMEOUT_MS };
    const request = { turn, held: [] };
    const response = await this.options.network.request(
      writer,
      messages.FETCH_TURNS,
      request,
      options,
    );
    if (response.isErr) return undefined;
    // Decoded contents are views of the whole message, which a cached view would keep in memory.
    const turns = response.value.turns.map((record) => ({
      ...record,
      content: Buffer.from(record.content),
    }));
    turns.forEach((record) => this.cache.set(record.id, record));
    return turns.find(({ id }) => id === turn);
  }

  /**
   * Returns the first turns of a chain, as many as are sent to a peer at once. They take memory
   * until they have been sent or the peer has stopped waiting.
   */
  private takeForPeer(chain: Iterable<turnRecords.TurnRecord>): turnRecords.TurnRecord[] {
    const taken: turnRecords.TurnRecord[] = [];
    let bytes = 0;
    for (const record of chain) {
      const size = bytes + record.content.length;
      if (size > MAXIMUM_FETCH_BYTES || this.sendingBytes + size > MAXIMUM_SENDING_BYTES) break;
      bytes = size;
      taken.push(record);
    }
    this.sendingBytes += bytes;
    if (bytes > 0) {
      this.options.clock.startTimer(FETCH_TIMEOUT_MS, () => {
        this.sendingBytes -= bytes;
      });
    }
    return taken;
  }

  /** Yields the cached turns of a chain, newest first, up to the first one that the peer holds. */
  private *cachedChain(
    turn: string,
    heldTurns: ReadonlySet<string>,
  ): Generator<turnRecords.TurnRecord> {
    let next: string | undefined = turn;
    while (next !== undefined && !heldTurns.has(next)) {
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
    this.options.logger.info('The history of a turn was read.', {
      request: turn,
      count: turns.length,
      bytes: turns.reduce((sum, { content }) => sum + content.length, 0),
      spanMs: Math.round(this.options.clock.now() - startedAt),
    });
  }

  private lookupFault(turn: string, failure: keyedLog.LogFailure): errors.Fault {
    const fault = this.unavailable(turn, failure.message);
    if (failure !== turnLog.NO_MEMORY) return fault;
    return errors.createFault('overloaded', failure.message, { retryAfterMs: RETRY_AFTER_MS });
  }

  private unavailable(turn: string, reason: string): errors.Fault {
    this.options.logger.warn('A turn could not be read from or stored in the log.', {
      request: turn,
      reason,
    });
    return errors.createFault('log-unavailable', undefined, { retryAfterMs: RETRY_AFTER_MS });
  }

  private unknown(turn: string, reason: string): errors.Fault {
    this.options.logger.warn('The turn to continue is unknown.', { request: turn, reason });
    return errors.createFault('turn-unknown');
  }
}

/** Reserves the memory of a turn that needs no read of the log. */
function reserveFor(
  record: turnRecords.TurnRecord,
  memory: memoryReservation.MemoryReservation,
): turnLog.TurnLookupResult {
  if (memory.reserve(record.content.length)) return trueMyth.Result.ok(record);
  return trueMyth.Result.err(turnLog.NO_MEMORY);
}

/**
 * Releases the memory of a lookup as soon as it reads nothing more. What a failed lookup still
 * reads will be cached.
 */
async function releaseAfterReads({ memory, runningReads }: Lookup): Promise<void> {
  if (runningReads.size > 0) await Promise.allSettled(runningReads);
  memory.dispose();
}
