import * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as conditionWaiters from './ConditionWaiters.js';
import * as programAccount from './ProgramAccount.js';
import * as watermarkRecord from './watermarkRecord.js';
import type { Grant, Reservation, Settlement } from './Types.js';

/** The topic with the watermarks of programs. */
const TOPIC = 'programs';

/**
 * Turns ahead of which a watermark is written. More would save appends, but all that is ahead counts as
 * spent when the home is lost, and programs with small budgets would end early.
 */
const TURNS_AHEAD = 1;

/** A program that has paused for so long has its watermark lowered to what it has used. */
const TIGHTEN_INTERVAL_MS = 300;

/** How long one request waits for a watermark to be written. */
const WRITE_WAIT_MS = 1_000;

/** How long one request waits for the partition to be read. */
const LOAD_WAIT_MS = 1_000;

/** Time between two attempts to write or to load. */
const RETRY_MS = 100;

/** Programs without use for so long are removed from the log. Above any stated retention. */
const IDLE_PROGRAM_MS = 600_000;

/** Wanted in place of a watermark: the program is to be removed from the log. */
const REMOVAL = -1;

/** When to come back while the log cannot be reached. */
const COME_BACK_MS = 600;

/** What a partition needs. */
export interface HomePartitionOptions {
  readonly partition: number;
  readonly log: keyedLog.KeyedLog;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Unique for each time that a process owns a partition: the log knows repeated appends by it. */
  readonly producer: string;
  /** Asks former owners to write what they have not used. */
  readonly releaseElsewhere: () => Promise<void>;
}

/** A record on its way to the log. */
interface PendingRecord {
  /** The watermark that was asked for. */
  readonly wanted: number;
  /** The watermark in the record. */
  readonly watermark: number;
  /** Nothing when the program is removed. */
  readonly value: Uint8Array | undefined;
}

/**
 * The accounts of the programs of one partition. Appends expect the end that this process knows,
 * so that no record of another owner can be overlooked: on a conflict all is read again.
 */
export class HomePartition implements lifetime.Disposable {
  private readonly accounts = new Map<string, programAccount.ProgramAccount>();

  private readonly wanted = new Map<string, number>();

  /** Those who wait for what only a write can bring about. */
  private readonly waiters: conditionWaiters.ConditionWaiters;

  /** Programs whose watermark may stand too high. */
  private readonly surplus = new Set<string>();

  private tightening: clock.Timer | undefined;

  private end: number | undefined;

  private loading: Promise<boolean> | undefined;

  private isWriting = false;

  private isClosed = false;

  /** Counts the producers under which this process has written here. */
  private life = 0;

  private sequence = 0;

  /** The records of an append that may have taken effect. */
  private unanswered: ReadonlyMap<string, PendingRecord> | undefined;

  public constructor(private readonly options: HomePartitionOptions) {
    this.waiters = new conditionWaiters.ConditionWaiters(options.clock);
  }

  /** Sets tokens aside, and has a watermark written that covers them and some turns more. */
  public async reserve(reservation: Reservation): Promise<trueMyth.Result<Grant, errors.Fault>> {
    const { clock: time } = this.options;
    if (!(await this.loadedSoon())) return trueMyth.Result.err(unavailable());
    if (this.isClosed) return trueMyth.Result.err(errors.createFault('not-owner'));
    const { budgetTokens, call, mostTokens, previousTurn, program } = reservation;
    const account = this.account(program);
    if (!account.holds(call, mostTokens, budgetTokens, time.now())) {
      return trueMyth.Result.err(this.exhausted(reservation, account));
    }
    account.reserve(call, mostTokens, time.now());
    this.raise(program, account, mostTokens, budgetTokens);
    const { isCovered } = account;
    const writer = previousTurn === undefined ? undefined : account.writerOf(previousTurn);
    return trueMyth.Result.ok(writer === undefined ? { isCovered } : { isCovered, writer });
  }

  /** Waits for a while until the log holds enough for a reserved turn. */
  public async cover(reservation: Reservation): Promise<boolean> {
    const { call, program } = reservation;
    if (!(await this.loadedSoon())) return false;
    const account = this.account(program);
    // The partition may have come here since the tokens were set aside.
    if (!account.hasReserved(call) && (await this.reserve(reservation)).isErr) return false;
    return this.waiters.wait(() => account.isCovered, WRITE_WAIT_MS);
  }

  /**
   * Gives back what a turn has not used. For a turn that is kept, resolves when the log counts no
   * more for it, so that a program that goes on from it later finds its budget; false when that
   * takes too long. Nothing when the partition cannot be read, or has been let go.
   */
  public async settle(settlement: Settlement, writer: string): Promise<boolean | undefined> {
    const { call, isKept, program, tokens } = settlement;
    if (!(await this.loadedSoon()) || this.isClosed) return undefined;
    const account = this.account(program);
    account.settle(call, tokens, this.options.clock.now());
    if (!isKept) {
      if (account.hasSurplus) this.noteSurplus(program);
      return true;
    }
    account.noteWriter(call, writer);
    if (account.watermark > account.committedTokens) this.lower(program, account);
    return this.waiters.wait(() => !this.wanted.has(program), WRITE_WAIT_MS);
  }

  private lower(program: string, account: programAccount.ProgramAccount): void {
    // From here on the former watermark covers nothing, because the log may lose it any moment.
    account.noteLowering(account.committedTokens);
    this.want(program, account.committedTokens);
  }

  private want(program: string, watermark: number): void {
    this.wanted.set(program, watermark);
    if (!this.isWriting) this.write();
  }

  /** Has programs removed from the log that have not been used for long. Call from time to time. */
  public removeIdle(): void {
    this.accounts.forEach((account, program) => {
      if (this.isClosed || !account.isIdleSince(this.idleHorizon)) return;
      account.noteLowering(0);
      this.want(program, REMOVAL);
    });
  }

  /** Writes what has really been used, so that the next owner counts no more, and lets go. */
  public async release(): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    this.tightening?.cancel();
    if (this.end === undefined) return;
    this.accounts.forEach((account, program) => {
      if (account.isLoggedLoosely) this.wanted.set(program, account.committedTokens);
    });
    if (this.wanted.size === 0) return;
    if (!this.isWriting) await this.write();
    else await this.waiters.wait(() => this.wanted.size === 0, RETRY_MS * 3);
  }

  private noteSurplus(program: string): void {
    this.surplus.add(program);
    this.tightening ??= this.options.clock.startTimer(TIGHTEN_INTERVAL_MS, () => {
      this.tightening = undefined;
      this.tighten();
    });
  }

  /**
   * Lowers the watermarks of programs that pause or have ended, so that a later home does not count
   * as spent what never was.
   */
  private tighten(): void {
    const idleSince = this.options.clock.now() - TIGHTEN_INTERVAL_MS;
    [...this.surplus].forEach((program) => {
      const account = this.accounts.get(program);
      if (account?.hasSurplus && account.lastUsedAt > idleSince) {
        this.noteSurplus(program);
        return;
      }
      this.surplus.delete(program);
      if (account?.hasSurplus) this.lower(program, account);
    });
  }

  /** Writes no more. What the log does not hold yet counts for the next owner by its watermark. */
  public dispose(): void {
    this.isClosed = true;
    this.tightening?.cancel();
  }

  private account(program: string): programAccount.ProgramAccount {
    const known = this.accounts.get(program);
    if (known !== undefined) return known;
    const account = new programAccount.ProgramAccount(
      programAccount.NOTHING_LOGGED,
      this.options.clock.now(),
    );
    this.accounts.set(program, account);
    return account;
  }

  private raise(
    program: string,
    account: programAccount.ProgramAccount,
    turnTokens: number,
    budgetTokens: number,
  ): void {
    if (account.committedTokens + turnTokens <= account.covered) return;
    const ahead = account.committedTokens + TURNS_AHEAD * turnTokens;
    // What is ahead leaves room for one more turn, so that no later home ends a program for it.
    const watermark = Math.max(account.committedTokens, Math.min(ahead, budgetTokens - turnTokens));
    if (watermark <= account.covered) return;
    this.want(program, Math.max(watermark, this.wanted.get(program) ?? 0));
  }

  private async write(): Promise<void> {
    this.isWriting = true;
    while (this.wanted.size > 0 && this.end !== undefined) await this.writeBatch();
    this.isWriting = false;
  }

  private async writeBatch(): Promise<void> {
    const repeated = this.unanswered;
    const batch = repeated ?? this.createBatch();
    const records = [...batch].map(([key, { value }]) => ({ key, value }));
    const result = await this.options.log.append(this.name, records, {
      identity: { producer: this.producer, sequence: this.sequence },
      expectedEnd: this.end,
    });
    this.unanswered = undefined;
    if (result.isOk) {
      this.sequence += 1;
      this.end = result.value.endOffset;
      batch.forEach((record, program) => this.noteWritten(program, record));
      this.waiters.check();
      return;
    }
    // An append that may have taken effect is repeated unchanged until it is answered. That an attempt
    // is turned away says nothing of those before it, and the log takes a number only once.
    const { kind } = result.error;
    if (!isOvertaken(kind) && (repeated !== undefined || kind === keyedLog.LOG_FAILURES.LOST)) {
      this.unanswered = batch;
    }
    const isRead = isOvertaken(kind) && (await this.readAgain());
    if (this.isClosed) this.wanted.clear();
    else if (!isRead) await this.options.clock.sleep(RETRY_MS);
  }

  private createBatch(): ReadonlyMap<string, PendingRecord> {
    const writer = this.options.producer;
    return new Map(
      [...this.wanted].map(([program, wanted]): [string, PendingRecord] => {
        const account = this.account(program);
        if (wanted === REMOVAL && account.isIdleSince(this.idleHorizon)) {
          return [program, { wanted, watermark: 0, value: undefined }];
        }
        const record = account.createRecord(wanted);
        const value = watermarkRecord.encodeWatermark({ ...record, writer });
        return [program, { wanted, watermark: record.watermark, value }];
      }),
    );
  }

  private noteWritten(program: string, { value, wanted, watermark }: PendingRecord): void {
    if (this.wanted.get(program) === wanted) this.wanted.delete(program);
    const account = this.accounts.get(program);
    account?.noteWritten(watermark, this.wanted.get(program));
    if (value !== undefined || account === undefined) return;
    if (account.isIdleSince(this.idleHorizon)) this.accounts.delete(program);
    else this.want(program, Math.max(account.committedTokens, this.wanted.get(program) ?? 0));
  }

  private get idleHorizon(): clock.Milliseconds {
    return this.options.clock.now() - IDLE_PROGRAM_MS;
  }

  /** Another owner has written: what it may have handed out counts as spent. */
  private readAgain(): Promise<boolean> {
    const { logger, partition } = this.options;
    logger.warn('Another owner has written to a partition of programs.', { shard: partition });
    this.life += 1;
    this.sequence = 0;
    return this.load();
  }

  /**
   * Whether the partition has been read, which is awaited for a while. Another home could read no
   * more while the log is away, so callers are told rather than left to ask elsewhere.
   */
  private async loadedSoon(): Promise<boolean> {
    if (this.end !== undefined) return true;
    const loading = this.ensureLoaded();
    return (await clock.within(this.options.clock, LOAD_WAIT_MS, loading)) === true;
  }

  private async ensureLoaded(): Promise<boolean> {
    if (this.end !== undefined) return true;
    this.loading ??= this.loadFirst().finally(() => {
      this.loading = undefined;
    });
    return this.loading;
  }

  private async loadFirst(): Promise<boolean> {
    await this.options.releaseElsewhere();
    const loaded = await this.load();
    const { logger, partition } = this.options;
    if (loaded)
      logger.info('Programs of a partition were read.', {
        shard: partition,
        count: this.accounts.size,
      });
    return loaded;
  }

  private async load(): Promise<boolean> {
    const state = await keyedLog.readAllNewest(this.options.log, this.name);
    if (state.isErr) return false;
    state.value.records.forEach((record) => this.takeRecord(record));
    this.end = state.value.endOffset;
    this.waiters.check();
    return true;
  }

  private takeRecord({ key, value }: keyedLog.StoredRecord): void {
    const { clock: time, logger, producer } = this.options;
    const record = watermarkRecord.decodeWatermark(value);
    if (record === undefined) {
      logger.error('A watermark in the log cannot be read.', { program: key });
      return;
    }
    const known = this.accounts.get(key);
    if (known !== undefined && record.writer === producer) {
      known.noteFound(record.watermark);
      return;
    }
    this.accounts.set(key, new programAccount.ProgramAccount(record, time.now()));
    this.wanted.delete(key);
  }

  private get producer(): string {
    return `${this.options.producer}.${this.life}`;
  }

  private get name(): keyedLog.PartitionName {
    return { topic: TOPIC, partition: this.options.partition };
  }

  private exhausted(
    reservation: Reservation,
    account: programAccount.ProgramAccount,
  ): errors.Fault {
    const { budgetTokens, call, mostTokens, program } = reservation;
    this.options.logger.info('The budget of a program holds no further turn.', {
      request: call,
      program,
      count: account.committedTokens,
      reason: `budget ${budgetTokens}, turn ${mostTokens}, watermark ${account.watermark}`,
    });
    return errors.createFault('budget-exhausted');
  }
}

function isOvertaken(kind: keyedLog.LogFailureKind): boolean {
  return kind === keyedLog.LOG_FAILURES.CONFLICT || kind === keyedLog.LOG_FAILURES.FENCED;
}

function unavailable(): errors.Fault {
  return errors.createFault('log-unavailable', undefined, { retryAfterMs: COME_BACK_MS });
}
