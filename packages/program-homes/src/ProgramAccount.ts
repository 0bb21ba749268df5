import type * as clock from '@limpettack/clock';
import type * as watermarkRecord from './watermarkRecord.js';

/** A turn that is not settled by then counts as if it had used all that it reserved. */
const RESERVATION_MS = 15_000;

/** The writers of the latest turns that are remembered for each program. */
const WRITERS_KEPT = 64;

/** What the log says of a program. */
export type LoggedAccount = Pick<watermarkRecord.WatermarkRecord, 'open' | 'watermark'>;

/** What the log says of a program that it does not know. */
export const NOTHING_LOGGED: LoggedAccount = { watermark: 0, open: [] };

interface OpenReservation {
  readonly tokens: number;
  readonly expiresAt: clock.Milliseconds;
  /** Whether a record in the log may name it, so that another home may settle it too. */
  isListed: boolean;
}

/**
 * The budget of one program. The watermark is in the log: it is a promise never to have handed out
 * more than that, less what the turns that the record names turn out not to have used. So a later
 * home needs to know no more, and may settle these turns like this one does.
 */
export class ProgramAccount {
  private readonly reservations = new Map<string, OpenReservation>();

  private readonly writers = new Map<string, string>();

  /** Tokens that have been handed out, as far as this home knows, or more. */
  private spentTokens: number;

  private reservedTokens = 0;

  private loggedTokens: number;

  /** Up to where the log certainly covers, whatever record it holds and whoever settles by it. */
  private coveredTokens: number;

  /** What named turns did not use, by settlements since the latest record was made. */
  private freedSinceRecord = 0;

  private usedAt: clock.Milliseconds;

  public constructor({ open, watermark }: LoggedAccount, now: clock.Milliseconds) {
    open.forEach(({ call, tokens }) => {
      this.reservations.set(call, { tokens, expiresAt: now + RESERVATION_MS, isListed: true });
      this.reservedTokens += tokens;
    });
    this.spentTokens = Math.max(0, watermark - this.reservedTokens);
    this.loggedTokens = watermark;
    this.coveredTokens = watermark;
    this.usedAt = now;
  }

  /** Tokens that have been handed out or may still be. */
  public get committedTokens(): number {
    return this.spentTokens + this.reservedTokens;
  }

  /** The watermark in the log. */
  public get watermark(): number {
    return this.loggedTokens;
  }

  /** What may be handed out in all, by what the log will certainly hold. */
  public get covered(): number {
    return this.coveredTokens;
  }

  /** When the account was last used. */
  public get lastUsedAt(): clock.Milliseconds {
    return this.usedAt;
  }

  /** Whether no turn is under way and none has been since a moment. */
  public isIdleSince(moment: clock.Milliseconds): boolean {
    return this.reservations.size === 0 && this.usedAt < moment;
  }

  /** Whether the log holds all that may have been handed out. */
  public get isCovered(): boolean {
    return this.committedTokens <= this.coveredTokens;
  }

  /** Whether the watermark stands above what was handed out, and no turn is under way. */
  public get hasSurplus(): boolean {
    return this.reservations.size === 0 && this.loggedTokens > this.spentTokens;
  }

  /** Whether a new record would tell a later home more than the one in the log. */
  public get isLoggedLoosely(): boolean {
    if (this.loggedTokens > this.committedTokens) return true;
    return [...this.reservations.values()].some(({ isListed }) => !isListed);
  }

  /** Whether the budget holds a turn beside all others. */
  public holds(
    call: string,
    tokens: number,
    budgetTokens: number,
    now: clock.Milliseconds,
  ): boolean {
    this.expire(now);
    const own = this.reservations.get(call)?.tokens ?? 0;
    return this.committedTokens - own + tokens <= budgetTokens;
  }

  /** Sets tokens aside for a turn, once. */
  public reserve(call: string, tokens: number, now: clock.Milliseconds): void {
    this.usedAt = now;
    const earlier = this.reservations.get(call);
    this.reservedTokens += tokens - (earlier?.tokens ?? 0);
    const isListed = earlier?.isListed ?? false;
    this.reservations.set(call, { tokens, expiresAt: now + RESERVATION_MS, isListed });
  }

  /** Whether tokens are set aside for a turn. */
  public hasReserved(call: string): boolean {
    return this.reservations.has(call);
  }

  /** Ends a turn's reservation; nothing is counted twice when it had ended or expired. */
  public settle(call: string, tokens: number, now: clock.Milliseconds): void {
    const reservation = this.reservations.get(call);
    if (reservation === undefined) return;
    this.usedAt = now;
    this.reservations.delete(call);
    this.reservedTokens -= reservation.tokens;
    this.spentTokens += tokens;
    if (!reservation.isListed) return;
    // Another home may free the same tokens by the record, so they are not handed out again before
    // a new record is in the log.
    const freed = Math.max(0, reservation.tokens - tokens);
    this.coveredTokens -= freed;
    this.freedSinceRecord += freed;
  }

  /** What to write to the log for a watermark that is wanted. */
  public createRecord(watermark: number): LoggedAccount {
    this.freedSinceRecord = 0;
    const open = [...this.reservations].map(([call, reservation]) => {
      reservation.isListed = true;
      return { call, tokens: reservation.tokens };
    });
    return { watermark: Math.max(watermark, this.committedTokens), open };
  }

  /** Notes that the log may hold a lower watermark from here on. */
  public noteLowering(watermark: number): void {
    this.coveredTokens = Math.min(this.coveredTokens, watermark);
  }

  /** Notes that the log holds the latest record; another one may be on its way there. */
  public noteWritten(watermark: number, next: number = watermark): void {
    this.loggedTokens = watermark;
    this.coveredTokens = Math.min(watermark - this.freedSinceRecord, next);
  }

  /** Notes that the log was found to hold one of the records of this home. */
  public noteFound(watermark: number): void {
    this.loggedTokens = watermark;
    this.noteLowering(watermark - this.freedSinceRecord);
  }

  public noteWriter(turn: string, address: string): void {
    this.writers.set(turn, address);
    const [oldest] = this.writers.keys();
    if (this.writers.size > WRITERS_KEPT && oldest !== undefined) this.writers.delete(oldest);
  }

  public writerOf(turn: string): string | undefined {
    return this.writers.get(turn);
  }

  private expire(now: clock.Milliseconds): void {
    const expired = [...this.reservations].filter(([, { expiresAt }]) => expiresAt <= now);
    expired.forEach(([call, { tokens }]) => {
      this.reservations.delete(call);
      this.reservedTokens -= tokens;
      this.spentTokens += tokens;
    });
  }
}
