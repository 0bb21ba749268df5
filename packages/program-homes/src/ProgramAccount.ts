import type * as clock from '@limpettack/clock';

/** A turn that is not settled by then counts as if it had used all that it reserved. */
const RESERVATION_MS = 15_000;

/** The writers of the latest turns that are remembered for each program. */
const WRITERS_KEPT = 64;

interface OpenReservation {
  readonly tokens: number;
  readonly expiresAt: clock.Milliseconds;
}

/**
 * The budget of one program. The watermark is in the log: it is a promise never to have handed out
 * more than that, so it is all that a later home needs to know.
 */
export class ProgramAccount {
  private readonly reservations = new Map<string, OpenReservation>();

  private readonly writers = new Map<string, string>();

  private reservedTokens = 0;

  /** Up to where the log certainly covers: below the watermark while that is being lowered. */
  private coveredTokens: number;

  private usedAt: clock.Milliseconds;

  public constructor(
    /** Tokens that have been handed out, as far as this home knows, or more. */
    private spentTokens: number,
    /** The watermark in the log. */
    private loggedTokens: number,
    now: clock.Milliseconds,
  ) {
    this.coveredTokens = loggedTokens;
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

  /** Whether the budget holds one more turn. */
  public holds(tokens: number, budgetTokens: number, now: clock.Milliseconds): boolean {
    this.expire(now);
    return this.committedTokens + tokens <= budgetTokens;
  }

  /** Sets tokens aside for a turn. */
  public reserve(call: string, tokens: number, now: clock.Milliseconds): void {
    this.usedAt = now;
    const earlier = this.reservations.get(call);
    this.reservedTokens += tokens - (earlier?.tokens ?? 0);
    this.reservations.set(call, { tokens, expiresAt: now + RESERVATION_MS });
  }

  /** Whether tokens are set aside for a turn. */
  public hasReserved(call: string): boolean {
    return this.reservations.has(call);
  }

  /** Ends a turn's reservation; nothing is counted twice when it had expired. */
  public settle(call: string, tokens: number, now: clock.Milliseconds): void {
    const reservation = this.reservations.get(call);
    if (reservation === undefined) return;
    this.usedAt = now;
    this.reservations.delete(call);
    this.reservedTokens -= reservation.tokens;
    this.spentTokens += tokens;
  }

  /** Whether the log holds all that may have been handed out. */
  public get isCovered(): boolean {
    return this.committedTokens <= this.coveredTokens;
  }

  /** Whether the watermark stands above what was handed out, and no turn is under way. */
  public get hasSurplus(): boolean {
    return this.reservations.size === 0 && this.loggedTokens > this.spentTokens;
  }

  /** Notes that the log may hold a lower watermark from here on. */
  public noteLowering(watermark: number): void {
    this.coveredTokens = Math.min(this.coveredTokens, watermark);
  }

  /** Notes that the log holds a watermark; another one may be on its way there. */
  public noteWritten(watermark: number, next: number = watermark): void {
    this.loggedTokens = watermark;
    this.coveredTokens = Math.min(watermark, next);
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
