import * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as trueMyth from 'true-myth';
import * as allowanceRight from './AllowanceRight.js';
import * as chooseWatermark from './chooseWatermark.js';
import * as conditionWaiters from './ConditionWaiters.js';
import * as programAccount from './ProgramAccount.js';
import * as watermarkRecord from './watermarkRecord.js';
import type { Grant, Reservation, Settlement } from './Types.js';

/** The topic that stores the watermarks of programs. */
const TOPIC = 'programs';

/** Interval at which programs whose watermark may be lowered are checked. */
const LOWERING_INTERVAL_MS = chooseWatermark.SHORT_PLAN.loweringDelayMs;

/** Maximum time that one request waits for a watermark to be written. */
const WRITE_TIMEOUT_MS = 1_000;

/** Maximum time that one request waits for the partition to be read. */
const LOAD_TIMEOUT_MS = 1_000;

/** Pause between two attempts to write or to load. */
const RETRY_INTERVAL_MS = 100;

/**
 * How long a released partition tries to record output that was delivered without a record. Exceeds
 * the outages of the log that have been observed (5 to 7 s).
 */
const FINAL_WRITES_MS = 10_000;

/** Idle time after which a program is removed from the log. Exceeds any configured retention. */
const IDLE_PROGRAM_MS = 600_000;

/** Value that is requested instead of a watermark to remove a record from the log. */
const REMOVAL = -1;

/** Value that is requested instead of a watermark to claim the right to grant allowances. */
const CLAIM = 0;

/** Retry delay suggested to callers while the log cannot be reached. */
const RETRY_AFTER_MS = 600;

/** Dependencies and settings of a partition. */
export interface HomePartitionOptions {
  readonly partition: number;
  readonly log: keyedLog.KeyedLog;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /** Unique for each period of ownership; the log recognizes repeated appends by it. */
  readonly producer: string;
  /**
   * Asks former owners to lower their watermarks to the used tokens and to release the partition.
   */
  readonly requestRelease: () => Promise<void>;
  /**
   * Whether programs whose turns are not retained may continue now while the log is unavailable, as
   * far as their watermarks and allowances permit. Undefined if they never do.
   */
  readonly mayContinueDuringOutages?: () => boolean;
}

/** A record of an append that is in progress. */
interface PendingRecord {
  /** The requested watermark, or `REMOVAL`. */
  readonly requested: number;
  /** The watermark in `value`. May exceed `requested`; 0 when the program is removed. */
  readonly watermark: number;
  /** The encoded record; undefined when the program is removed. */
  readonly value: Uint8Array | undefined;
}

/**
 * The accounts of the programs of one partition. Each append states the end offset of the partition
 * as this process knows it. If another owner has written since, the log reports a conflict and the
 * partition is read again.
 */
export class HomePartition implements lifetime.Disposable {
  private readonly accounts = new Map<string, programAccount.ProgramAccount>();

  /** Watermarks to be written, by program, and changes of the right to grant allowances. */
  private readonly requested = new Map<string, number>();

  /** Requests that wait for a write or a load. */
  private readonly waiters: conditionWaiters.ConditionWaiters;

  /** Programs whose watermark may exceed their used tokens. */
  private readonly loweringCandidates = new Set<string>();

  private loweringTimer: clock.Timer | undefined;

  /** The end offset of the partition; undefined until the partition has been read. */
  private endOffset: number | undefined;

  private loading: Promise<boolean> | undefined;

  private isWriting = false;

  private isClosed = false;

  private isDisposed = false;

  /** When a released partition stops to write. Undefined until the partition is released. */
  private finalWritesEnd: clock.Milliseconds | undefined;

  private finalWritesTimer: clock.Timer | undefined;

  /** Number of times that the producer name was changed after a conflict. */
  private producerGeneration = 0;

  private sequence = 0;

  /** The records of an append whose result is unknown. */
  private uncertainBatch: ReadonlyMap<string, PendingRecord> | undefined;

  private readonly allowanceRight: allowanceRight.AllowanceRight;

  public constructor(private readonly options: HomePartitionOptions) {
    this.allowanceRight = new allowanceRight.AllowanceRight(
      options.producer,
      options.clock,
      IDLE_PROGRAM_MS,
    );
    this.waiters = new conditionWaiters.ConditionWaiters(options.clock);
  }

  /**
   * Reserves tokens and, if needed, requests a higher watermark that covers them and further turns
   * according to the plan of the turn. Faults: `budget-exhausted`, `log-unavailable`, `not-owner`, and
   * `home-unavailable` for a program whose id is too long for the log.
   */
  public async reserve(reservation: Reservation): Promise<trueMyth.Result<Grant, errors.Fault>> {
    const { clock: time } = this.options;
    if (!isStorable(reservation.program)) return trueMyth.Result.err(createUnstorableFault());
    if (!(await this.awaitLoaded())) return trueMyth.Result.err(createUnavailableFault());
    if (this.isClosed) return trueMyth.Result.err(errors.createFault('not-owner'));
    const { budgetTokens, call, mostTokens, previousTurn, program } = reservation;
    const mayContinue = this.options.mayContinueDuringOutages?.() ?? false;
    this.claimAllowances();
    const account = this.accountOf(program);
    if (!account.allows(call, mostTokens, budgetTokens, time.now())) {
      return trueMyth.Result.err(this.refuseExhaustedBudget(reservation, account));
    }
    // A turn that is reserved again may already have delivered what it was allowed to.
    const isRepeated = account.hasReserved(call);
    account.reserve(call, mostTokens, time.now());
    account.plan = chooseWatermark.choosePlan(reservation, mayContinue);
    this.raiseWatermark(reservation, account);
    const { isCovered, plan } = account;
    const writer = previousTurn === undefined ? undefined : account.writerOf(previousTurn);
    const { isHeld } = this.allowanceRight;
    const mayDeliver = isHeld && plan.allowsUncovered && !isCovered && !isRepeated;
    const allowance = mayDeliver ? account.allowUncovered(call) : 0;
    return trueMyth.Result.ok({
      isCovered,
      ...(writer === undefined ? {} : { writer }),
      ...(allowance > 0 ? { uncoveredTokens: allowance } : {}),
    });
  }

  /** Waits up to `WRITE_TIMEOUT_MS` until the watermark in the log covers a reserved turn. */
  public async cover(reservation: Reservation): Promise<boolean> {
    const { call, program } = reservation;
    if (!isStorable(program) || !(await this.awaitLoaded())) return false;
    const account = this.accountOf(program);
    // The partition may have moved to this process since the tokens were reserved.
    if (!account.hasReserved(call) && (await this.reserve(reservation)).isErr) return false;
    return this.waiters.wait(() => account.isCovered, WRITE_TIMEOUT_MS);
  }

  /**
   * Releases the reserved tokens that a turn has not used. For a retained turn, resolves with true
   * once the log charges no more than the used tokens, and with false on a timeout. A program that
   * continues the turn at a later home then has its whole remaining budget. Resolves with undefined
   * when the partition cannot be read or has been released.
   */
  public async settle(settlement: Settlement, writer: string): Promise<boolean | undefined> {
    const { call, isKept, program, tokens } = settlement;
    // No reservation of such a program was granted, so there is nothing to release.
    if (!isStorable(program)) return true;
    if (!(await this.awaitLoaded()) || this.isClosed) return undefined;
    const account = this.accountOf(program);
    account.settle(call, tokens, this.options.clock.now());
    if (!isKept) {
      if (account.hasSurplus) this.scheduleLowering(program);
      return true;
    }
    account.noteWriter(call, writer);
    if (account.watermark > account.committedTokens) this.lowerWatermark(program, account);
    return this.waiters.wait(() => !this.requested.has(program), WRITE_TIMEOUT_MS);
  }

  private lowerWatermark(program: string, account: programAccount.ProgramAccount): void {
    // Tokens above the lower watermark are no longer covered, because it may replace the former one
    // at any time.
    account.noteLowerWatermark(account.committedTokens);
    this.requestWatermark(program, account.committedTokens);
  }

  private requestWatermark(program: string, watermark: number): void {
    this.requested.set(program, watermark);
    if (!this.isWriting) this.write();
  }

  /** Removes programs that have been idle for `IDLE_PROGRAM_MS` from the log. Call periodically. */
  public removeIdle(): void {
    this.accounts.forEach((account, program) => {
      if (this.isClosed || !account.isIdleSince(this.idleCutoff)) return;
      account.noteLowerWatermark(0);
      this.requestWatermark(program, REMOVAL);
    });
  }

  /**
   * Lowers all watermarks to the committed tokens for the next owner, and releases the partition.
   */
  public async release(): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    this.finalWritesEnd = this.options.clock.now() + FINAL_WRITES_MS;
    this.loweringTimer?.cancel();
    if (this.endOffset === undefined) return;
    this.accounts.forEach((account, program) => {
      const isRaised = (this.requested.get(program) ?? REMOVAL) !== REMOVAL;
      if (isRaised || account.isRecordImprecise || account.uncoveredTokens > 0)
        this.requested.set(program, account.committedTokens);
    });
    // The same append writes the records of all output that this home has allowed without one.
    if (this.allowanceRight.isHeld || this.requested.has(allowanceRight.ALLOWANCE_KEY))
      this.requested.set(allowanceRight.ALLOWANCE_KEY, REMOVAL);
    if (this.requested.size === 0) return;
    if (!this.isWriting) await this.write();
    else await this.waiters.wait(() => this.requested.size === 0, RETRY_INTERVAL_MS * 3);
  }

  private scheduleLowering(program: string): void {
    this.loweringCandidates.add(program);
    this.loweringTimer ??= this.options.clock.startTimer(LOWERING_INTERVAL_MS, () => {
      this.loweringTimer = undefined;
      this.lowerIdleWatermarks();
    });
  }

  /**
   * Lowers the watermarks of idle programs, so that a later home does not treat unused tokens as
   * used.
   */
  private lowerIdleWatermarks(): void {
    const now = this.options.clock.now();
    [...this.loweringCandidates].forEach((program) => {
      const account = this.accounts.get(program);
      if (account?.hasSurplus && account.lastUsedAt > now - account.plan.loweringDelayMs) {
        this.scheduleLowering(program);
        return;
      }
      this.loweringCandidates.delete(program);
      if (account?.hasSurplus) this.lowerWatermark(program, account);
    });
  }

  /** Stops all writes. The next owner charges the programs according to the records in the log. */
  public dispose(): void {
    this.isClosed = true;
    this.isDisposed = true;
    this.loweringTimer?.cancel();
    this.finalWritesTimer?.cancel();
  }

  private accountOf(program: string): programAccount.ProgramAccount {
    const known = this.accounts.get(program);
    if (known !== undefined) return known;
    const account = new programAccount.ProgramAccount(
      programAccount.EMPTY_ACCOUNT,
      this.options.clock.now(),
    );
    this.accounts.set(program, account);
    return account;
  }

  private raiseWatermark(
    { budgetTokens, mostTokens: turnTokens, program }: Reservation,
    account: programAccount.ProgramAccount,
  ): void {
    const { committedTokens, grantableTokens: coveredTokens, plan } = account;
    const input = { budgetTokens, committedTokens, coveredTokens, turnTokens };
    const watermark = chooseWatermark.chooseWatermark(input, plan);
    if (watermark === undefined) return;
    this.requestWatermark(program, Math.max(watermark, this.requested.get(program) ?? 0));
  }

  /** Claims the right to grant allowances, if this home needs it and no other one may have it. */
  private claimAllowances(): void {
    const { ALLOWANCE_KEY } = allowanceRight;
    const mayContinue = this.options.mayContinueDuringOutages?.() ?? false;
    if (!mayContinue || this.isClosed || !this.allowanceRight.isClaimable) return;
    if (!this.requested.has(ALLOWANCE_KEY)) this.requestWatermark(ALLOWANCE_KEY, CLAIM);
  }

  private async write(): Promise<void> {
    this.isWriting = true;
    while (this.requested.size > 0 && this.endOffset !== undefined && !this.isDisposed)
      await this.tryWriteBatch();
    this.isWriting = false;
  }

  /** Writes a batch. An unexpected exception does not end the writes: they go on after a pause. */
  private async tryWriteBatch(): Promise<void> {
    try {
      await this.writeBatch();
    } catch (error) {
      this.logException(error);
      if (this.isClosed) this.endWrites();
      else await this.options.clock.sleep(RETRY_INTERVAL_MS);
    }
  }

  /**
   * Drops the requested writes of a released partition, except for programs with output that was
   * delivered without a record, and the return of the right to allow such output: they are tried again
   * after a pause. No request waits for them.
   */
  private endWrites(): void {
    const { clock: time } = this.options;
    const repeated = [...this.requested].filter(
      ([key]) =>
        key === allowanceRight.ALLOWANCE_KEY || (this.accounts.get(key)?.uncoveredTokens ?? 0) > 0,
    );
    this.requested.clear();
    if (this.isDisposed || repeated.length === 0 || time.now() > (this.finalWritesEnd ?? 0)) return;
    this.finalWritesTimer = time.startTimer(RETRY_INTERVAL_MS, () => {
      repeated.forEach(([key, value]) => this.requested.set(key, value));
      if (!this.isWriting) this.write();
    });
  }

  /** Appends records. An append that throws may have taken effect. */
  private async append(
    records: readonly keyedLog.KeyedRecord[],
  ): Promise<keyedLog.LogResult<keyedLog.AppendReceipt>> {
    try {
      return await this.options.log.append(this.partitionName, records, {
        identity: { producer: this.producer, sequence: this.sequence },
        expectedEnd: this.endOffset,
      });
    } catch (error) {
      this.logException(error);
      const kind = keyedLog.LOG_FAILURES.LOST;
      return trueMyth.Result.err({ kind, message: String(error) });
    }
  }

  private logException(error: unknown): void {
    const { logger, partition } = this.options;
    logger.error('A write of programs failed unexpectedly.', {
      shard: partition,
      reason: String(error),
    });
  }

  private async writeBatch(): Promise<void> {
    const repeated = this.uncertainBatch;
    const batch = repeated ?? this.createBatch();
    const records = [...batch].map(([key, { value }]) => ({ key, value }));
    const result = await this.append(records);
    this.uncertainBatch = undefined;
    if (result.isOk) {
      this.sequence += 1;
      this.endOffset = result.value.endOffset;
      batch.forEach((record, program) => this.noteWritten(program, record));
      this.waiters.check();
      return;
    }
    // An append that may have taken effect is repeated unchanged until its result is known. The
    // rejection of one attempt does not show that earlier attempts had no effect, and the log
    // accepts each sequence number only once.
    const { kind } = result.error;
    if (!isSuperseded(kind) && (repeated !== undefined || kind === keyedLog.LOG_FAILURES.LOST)) {
      this.uncertainBatch = batch;
    }
    const isRead = isSuperseded(kind) && (await this.reloadAfterConflict());
    if (this.isClosed) this.endWrites();
    else if (!isRead) await this.options.clock.sleep(RETRY_INTERVAL_MS);
  }

  private createBatch(): ReadonlyMap<string, PendingRecord> {
    const writer = this.options.producer;
    return new Map(
      [...this.requested].map(([program, requested]): [string, PendingRecord] => {
        if (program === allowanceRight.ALLOWANCE_KEY) {
          const value = requested === REMOVAL ? undefined : this.allowanceRight.encodeClaim();
          return [program, { requested, watermark: 0, value }];
        }
        const account = this.accountOf(program);
        if (requested === REMOVAL && account.isIdleSince(this.idleCutoff)) {
          return [program, { requested, watermark: 0, value: undefined }];
        }
        const record = account.createRecord(requested);
        const value = watermarkRecord.encodeWatermark({ ...record, writer });
        return [program, { requested, watermark: record.watermark, value }];
      }),
    );
  }

  private noteWritten(program: string, { value, requested, watermark }: PendingRecord): void {
    if (this.requested.get(program) === requested) this.requested.delete(program);
    if (program === allowanceRight.ALLOWANCE_KEY) {
      this.allowanceRight.noteWritten(value !== undefined);
      return;
    }
    const account = this.accounts.get(program);
    account?.noteWritten(watermark, this.requested.get(program));
    if (account === undefined) return;
    if (value !== undefined) {
      // Turns that were settled while the record was written may have reduced what it covers.
      if (!account.isCovered && !this.requested.has(program))
        this.requestWatermark(program, account.committedTokens);
      return;
    }
    if (account.isIdleSince(this.idleCutoff)) this.accounts.delete(program);
    else
      this.requestWatermark(
        program,
        Math.max(account.committedTokens, this.requested.get(program) ?? 0),
      );
  }

  private get idleCutoff(): clock.Milliseconds {
    return this.options.clock.now() - IDLE_PROGRAM_MS;
  }

  /**
   * Reads the partition again after another owner wrote to it. Tokens that the other owner may have
   * granted are then treated as used.
   */
  private reloadAfterConflict(): Promise<boolean> {
    const { logger, partition } = this.options;
    logger.warn('Another owner has written to this program partition; reading it again.', {
      shard: partition,
    });
    this.producerGeneration += 1;
    this.sequence = 0;
    return this.load();
  }

  /**
   * Waits up to `LOAD_TIMEOUT_MS` for the partition to be read and returns whether it was. While the
   * log is unavailable no other home could read it either, so callers get a `log-unavailable` fault
   * instead of a redirect.
   */
  private async awaitLoaded(): Promise<boolean> {
    if (this.endOffset !== undefined) return true;
    const loading = this.ensureLoaded();
    return (await clock.withTimeout(this.options.clock, LOAD_TIMEOUT_MS, loading)) === true;
  }

  private async ensureLoaded(): Promise<boolean> {
    if (this.endOffset !== undefined) return true;
    this.loading ??= this.loadFirst().finally(() => {
      this.loading = undefined;
    });
    return this.loading;
  }

  private async loadFirst(): Promise<boolean> {
    // While the log is unavailable, a former owner that has read the partition serves it better.
    if (this.options.mayContinueDuringOutages !== undefined && !(await this.isReadable()))
      return false;
    await this.options.requestRelease();
    const loaded = await this.load();
    const { logger, partition } = this.options;
    if (loaded)
      logger.info('Programs of a partition were read.', {
        shard: partition,
        count: this.accounts.size,
      });
    return loaded;
  }

  private async isReadable(): Promise<boolean> {
    return (await this.options.log.newest(this.partitionName)).isOk;
  }

  private async load(): Promise<boolean> {
    const state = await keyedLog.readAllNewestRecords(this.options.log, this.partitionName);
    if (state.isErr) return false;
    const { ALLOWANCE_KEY } = allowanceRight;
    const { endOffset, records } = state.value;
    this.applyAllowanceRight(records.find(({ key }) => key === ALLOWANCE_KEY)?.value);
    records
      .filter(({ key }) => key !== ALLOWANCE_KEY)
      .forEach((record) => this.applyRecord(record));
    this.endOffset = endOffset;
    this.claimAllowances();
    this.waiters.check();
    return true;
  }

  private applyAllowanceRight(value: Uint8Array | undefined): void {
    const { logger, partition } = this.options;
    const { allowanceRight: right } = this;
    const before = right.formerHolder;
    right.read(value);
    // A claim or a return that has not been written yet would replace the claim of the other home.
    if (right.formerHolder !== undefined) this.requested.delete(allowanceRight.ALLOWANCE_KEY);
    if (right.formerHolder === before || right.formerHolder === undefined) return;
    logger.warn(
      'Programs of a partition get no allowances, since a former home may have granted some.',
      {
        shard: partition,
        peer: right.formerHolder,
      },
    );
  }

  private applyRecord({ key, value }: keyedLog.StoredRecord): void {
    const { clock: time, logger, producer } = this.options;
    const record = watermarkRecord.decodeWatermark(value);
    if (record === undefined) {
      logger.error('A watermark record in the log is malformed.', { program: key });
      return;
    }
    const known = this.accounts.get(key);
    if (known !== undefined && record.writer === producer) {
      known.noteOwnRecordRead(record.watermark);
      return;
    }
    const account = new programAccount.ProgramAccount(record, time.now());
    this.accounts.set(key, account);
    this.requested.delete(key);
    if (known === undefined || known.uncoveredTokens === 0) return;
    account.chargeUncovered(known);
    this.requested.set(key, account.committedTokens);
  }

  private get producer(): string {
    return `${this.options.producer}.${this.producerGeneration}`;
  }

  private get partitionName(): keyedLog.PartitionName {
    return { topic: TOPIC, partition: this.options.partition };
  }

  private refuseExhaustedBudget(
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

function isSuperseded(kind: keyedLog.LogFailureKind): boolean {
  return kind === keyedLog.LOG_FAILURES.CONFLICT || kind === keyedLog.LOG_FAILURES.FENCED;
}

function isStorable(program: string): boolean {
  return Buffer.byteLength(program) <= keyedLog.MAXIMUM_KEY_BYTES;
}

/** Entries shorten long ids; one of another release may not, so callers should try another VM. */
function createUnstorableFault(): errors.Fault {
  const overrides = { run: errors.RUN_STATES.NOT_RUN, retryAfterMs: RETRY_AFTER_MS };
  return errors.createFault('home-unavailable', 'The id of the program is too long.', overrides);
}

function createUnavailableFault(): errors.Fault {
  return errors.createFault('log-unavailable', undefined, { retryAfterMs: RETRY_AFTER_MS });
}
