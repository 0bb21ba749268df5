import type * as clock from '@limpettack/clock';
import * as chooseAllowance from './chooseAllowance.js';
import * as chooseWatermark from './chooseWatermark.js';
import * as recordCoverage from './RecordCoverage.js';
import type * as watermarkRecord from './watermarkRecord.js';

/** A turn that is not settled within this time is charged for all its reserved tokens. */
const RESERVATION_TIMEOUT_MS = 15_000;

/** Maximum number of turns per program for which the writer's address is cached. */
const MAXIMUM_WRITERS = 64;

/** The state of a program's account as stored in the log. */
export type LoggedAccount = Pick<watermarkRecord.WatermarkRecord, 'open' | 'watermark'>;

/** The account of a program that has no record in the log. */
export const EMPTY_ACCOUNT: LoggedAccount = { watermark: 0, open: [] };

interface OpenReservation {
  readonly tokens: number;
  readonly expiresAt: clock.Milliseconds;
  /** Whether a record in the log may list the turn, so that another home may settle it too. */
  isListed: boolean;
}

/**
 * The token account of one program. The watermark in the log is an upper bound of the granted
 * tokens. The record also lists turns in progress; tokens that these turns do not use are deducted
 * when the turns are settled. A later home needs no other state, and can settle the listed turns
 * just as this one does.
 */
export class ProgramAccount {
  /** The plan for the watermark, according to the latest turn. */
  public plan: chooseWatermark.WatermarkPlan = chooseWatermark.SHORT_PLAN;

  private readonly reservations = new Map<string, OpenReservation>();

  private readonly writers = new Map<string, string>();

  /** Upper bound, known to this home, of the tokens that settled and expired turns have used. */
  private spentTokens: number;

  private reservedTokens = 0;

  private loggedWatermark: number;

  /**
   * Tokens that the log is certain to cover, whichever of the possible records is stored and
   * whichever home settles the turns.
   */
  private coveredTokens: number;

  /** Unused tokens of listed turns that were settled since the latest record was created. */
  private freedSinceRecord = 0;

  /** The coverage by the record in the log. */
  private loggedRecord: recordCoverage.RecordCoverage;

  /** The coverage by the latest created record, which the log may hold. */
  private possibleRecord: recordCoverage.RecordCoverage | undefined;

  /** The smallest maximum of any turn. */
  private smallestTurnTokens = Number.POSITIVE_INFINITY;

  /** Upper bound of the tokens that turns were allowed to deliver beyond the certain ones. */
  private allowedUncovered = 0;

  private usedAt: clock.Milliseconds;

  public constructor({ open, watermark }: LoggedAccount, now: clock.Milliseconds) {
    open.forEach(({ call, tokens }) => {
      this.reservations.set(call, {
        tokens,
        expiresAt: now + RESERVATION_TIMEOUT_MS,
        isListed: true,
      });
      this.reservedTokens += tokens;
    });
    this.spentTokens = Math.max(0, watermark - this.reservedTokens);
    this.loggedWatermark = watermark;
    this.coveredTokens = watermark;
    this.loggedRecord = this.createCoverage(watermark);
    this.usedAt = now;
  }

  /** Tokens that have been used or are reserved. */
  public get committedTokens(): number {
    return this.spentTokens + this.reservedTokens;
  }

  /** The watermark in the log. */
  public get watermark(): number {
    return this.loggedWatermark;
  }

  /** Total number of tokens of the program that may be granted before a new record is written. */
  public get grantableTokens(): number {
    return this.coveredTokens;
  }

  /** Upper bound of the tokens that were delivered and that the log may not cover. */
  public get uncoveredTokens(): number {
    const uncovered = this.committedTokens - this.certainTokens;
    return Math.max(0, Math.min(uncovered, this.allowedUncovered));
  }

  /**
   * Tokens that the log is certain to cover. Unlike `grantableTokens`, it does not deduct what a
   * settled turn has freed from a record that does not list the turn.
   */
  private get certainTokens(): number {
    return Math.min(this.loggedRecord.tokens, this.possibleRecord?.tokens ?? Infinity);
  }

  /** When the account was last used. */
  public get lastUsedAt(): clock.Milliseconds {
    return this.usedAt;
  }

  /** Whether no turn is in progress and the account has not been used since the given time. */
  public isIdleSince(moment: clock.Milliseconds): boolean {
    return this.reservations.size === 0 && this.usedAt < moment;
  }

  /** Whether the watermark in the log covers all committed tokens. */
  public get isCovered(): boolean {
    return this.committedTokens <= this.coveredTokens;
  }

  /** Whether no turn is in progress and the watermark exceeds the used tokens. */
  public get hasSurplus(): boolean {
    return this.reservations.size === 0 && this.loggedWatermark > this.spentTokens;
  }

  /** Whether a new record would be more precise for a later home than the one in the log. */
  public get isRecordImprecise(): boolean {
    if (this.loggedWatermark > this.committedTokens) return true;
    return [...this.reservations.values()].some(({ isListed }) => !isListed);
  }

  /** Whether the budget allows a turn in addition to all others. */
  public allows(
    call: string,
    tokens: number,
    budgetTokens: number,
    now: clock.Milliseconds,
  ): boolean {
    this.expireReservations(now);
    const own = this.reservations.get(call)?.tokens ?? 0;
    return this.committedTokens - own + tokens <= budgetTokens;
  }

  /** Reserves tokens for a turn. Replaces an earlier reservation of the same turn. */
  public reserve(call: string, tokens: number, now: clock.Milliseconds): void {
    this.usedAt = now;
    this.smallestTurnTokens = Math.min(this.smallestTurnTokens, tokens);
    const earlier = this.reservations.get(call);
    this.reservedTokens += tokens - (earlier?.tokens ?? 0);
    const isListed = earlier?.isListed ?? false;
    this.reservations.set(call, { tokens, expiresAt: now + RESERVATION_TIMEOUT_MS, isListed });
  }

  /** Returns how many tokens of a reserved turn may be delivered before the log covers it. */
  public allowUncovered(call: string): number {
    const { certainTokens, smallestTurnTokens } = this;
    const turnTokens = this.reservations.get(call)?.tokens ?? 0;
    const otherTokens = this.committedTokens - turnTokens;
    const input = { certainTokens, smallestTurnTokens, otherTokens, turnTokens };
    const allowance = chooseAllowance.chooseAllowance(input);
    if (allowance > 0) {
      const uncovered = otherTokens + allowance - certainTokens;
      this.allowedUncovered = Math.max(this.allowedUncovered, uncovered);
    }
    return allowance;
  }

  /**
   * Charges what this home may have delivered without a record under a former account, which the
   * record of another home has replaced.
   */
  public chargeUncovered(former: ProgramAccount): void {
    this.spentTokens += former.uncoveredTokens;
    this.allowedUncovered = former.uncoveredTokens;
    this.smallestTurnTokens = former.smallestTurnTokens;
  }

  /** Whether tokens are reserved for a turn. */
  public hasReserved(call: string): boolean {
    return this.reservations.has(call);
  }

  /** Settles a turn's reservation; does nothing when it is already settled or expired. */
  public settle(call: string, tokens: number, now: clock.Milliseconds): void {
    const reservation = this.reservations.get(call);
    if (reservation === undefined) return;
    this.usedAt = now;
    this.reservations.delete(call);
    this.reservedTokens -= reservation.tokens;
    this.spentTokens += tokens;
    const unused = Math.max(0, reservation.tokens - tokens);
    this.loggedRecord.settle(call, unused);
    this.possibleRecord?.settle(call, unused);
    if (!reservation.isListed) return;
    // Another home may free the same tokens according to the record in the log. They must not be
    // granted again before a new record is written.
    this.coveredTokens -= unused;
    this.freedSinceRecord += unused;
  }

  /** Creates the log record for a requested watermark; it covers at least the committed tokens. */
  public createRecord(watermark: number): LoggedAccount {
    this.freedSinceRecord = 0;
    const open = [...this.reservations].map(([call, reservation]) => {
      reservation.isListed = true;
      return { call, tokens: reservation.tokens };
    });
    const record = { watermark: Math.max(watermark, this.committedTokens), open };
    this.possibleRecord = this.createCoverage(record.watermark);
    return record;
  }

  /** Records that from now on the log may hold a lower watermark. */
  public noteLowerWatermark(watermark: number): void {
    this.coveredTokens = Math.min(this.coveredTokens, watermark);
    this.loggedRecord.limit(watermark);
    this.possibleRecord?.limit(watermark);
  }

  /**
   * Records that the latest record was written. `next` is the watermark of the record that follows,
   * if one is requested.
   */
  public noteWritten(watermark: number, next: number = watermark): void {
    this.loggedWatermark = watermark;
    this.coveredTokens = Math.min(watermark - this.freedSinceRecord, next);
    this.loggedRecord = this.possibleRecord ?? this.loggedRecord;
    this.loggedRecord.limit(Math.min(watermark, next));
    this.possibleRecord = undefined;
    if (this.committedTokens <= this.certainTokens) this.allowedUncovered = 0;
  }

  /** Records that a read of the log found one of this home's own records. */
  public noteOwnRecordRead(watermark: number): void {
    this.loggedWatermark = watermark;
    this.noteLowerWatermark(watermark - this.freedSinceRecord);
  }

  /** Caches the address of the process that wrote a turn. */
  public noteWriter(turn: string, address: string): void {
    this.writers.set(turn, address);
    const [oldest] = this.writers.keys();
    if (this.writers.size > MAXIMUM_WRITERS && oldest !== undefined) this.writers.delete(oldest);
  }

  /** Returns the address of the process that wrote a turn; undefined when it is not cached. */
  public writerOf(turn: string): string | undefined {
    return this.writers.get(turn);
  }

  private createCoverage(watermark: number): recordCoverage.RecordCoverage {
    return new recordCoverage.RecordCoverage(watermark, new Set(this.reservations.keys()));
  }

  /** Charges all tokens of expired reservations. */
  private expireReservations(now: clock.Milliseconds): void {
    const expired = [...this.reservations].filter(([, { expiresAt }]) => expiresAt <= now);
    expired.forEach(([call, { tokens }]) => {
      this.reservations.delete(call);
      this.reservedTokens -= tokens;
      this.spentTokens += tokens;
    });
  }
}
