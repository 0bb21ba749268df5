import type * as clock from '@limpettack/clock';
import * as msgpackr from 'msgpackr';
import * as zod from 'zod';

/**
 * The key of the record of the right, in the partition of the programs. The ids of programs are
 * values of HTTP fields, which never begin with a space.
 */
export const ALLOWANCE_KEY = ' allowances';

const RECORD = zod.object({ holder: zod.string() });

/**
 * The right of one home to grant allowances: output without a record, while the log is unavailable. The
 * log names the home that has the right. A home that ends without giving it up may have granted some
 * that nobody knows, to any program, so a later home grants none. Otherwise each loss of a home in an
 * outage would add the maximum of one turn to what a program delivers beyond its budget.
 */
export class AllowanceRight {
  private held = false;

  private otherHolder: string | undefined;

  private barredUntil = Number.NEGATIVE_INFINITY;

  /**
   * @param home Names this home, uniquely for each period of ownership.
   * @param barredMs How long a home grants no allowances after it has read that another one had the
   * right: until the programs of that one are forgotten.
   */
  public constructor(
    private readonly home: string,
    private readonly time: clock.Clock,
    private readonly barredMs: clock.Milliseconds,
  ) {}

  /** Whether this home may grant allowances: its record is in the log. */
  public get isHeld(): boolean {
    return this.held;
  }

  /** Whether this home does not have the right and may write a record that claims it. */
  public get isClaimable(): boolean {
    return !this.held && this.time.now() >= this.barredUntil;
  }

  /** The home that has the right, if it is not this one and has not given it up in time. */
  public get formerHolder(): string | undefined {
    return this.otherHolder;
  }

  /** The record that claims the right for this home. */
  public encodeClaim(): Uint8Array {
    return msgpackr.pack({ holder: this.home });
  }

  /** Applies the record in the log; undefined if it has none. */
  public read(value: Uint8Array | undefined): void {
    const holder = value === undefined ? undefined : decodeHolder(value);
    this.held = holder === this.home;
    const other = this.held ? undefined : holder;
    if (other === undefined) this.barredUntil = Number.NEGATIVE_INFINITY;
    else if (other !== this.otherHolder) this.barredUntil = this.time.now() + this.barredMs;
    this.otherHolder = other;
  }

  /** Records that the log holds the claim of this home, or no record. */
  public noteWritten(isClaim: boolean): void {
    this.held = isClaim;
    this.otherHolder = undefined;
  }
}

/** A record that cannot be read may be of a home that has the right. */
function decodeHolder(value: Uint8Array): string {
  try {
    return RECORD.safeParse(msgpackr.unpack(value)).data?.holder ?? '';
  } catch {
    return '';
  }
}
