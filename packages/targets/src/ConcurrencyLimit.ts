import type * as clock from '@limpettack/clock';

const DECREASE_ON_FAILURE = 0.7;
const DECREASE_ON_DELAY = 0.9;

/** Failures within this time of a decrease are taken as one. */
const DECREASE_INTERVAL_MS = 500;

/**
 * Additive increase and multiplicative decrease of the calls that this process may run on a target;
 * at least 1, never more than the target's slots.
 */
export class ConcurrencyLimit {
  private limit: number;

  private lastDecreaseAt = -Infinity;

  public constructor(
    private slots: number,
    private readonly time: clock.Clock,
  ) {
    this.limit = slots;
  }

  /** Calls that may run at once. */
  public get current(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Takes over a changed number of slots. */
  public resize(slots: number): void {
    if (slots === this.slots) return;
    this.slots = slots;
    this.limit = Math.min(this.limit, slots);
  }

  /** Notes a call that ended well while so many others ran. Unused room adds nothing. */
  public noteSuccess(others: number): void {
    if (others + 1 < this.current) return;
    this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
  }

  /** Notes a call that the target failed. */
  public noteFailure(): void {
    this.decrease(DECREASE_ON_FAILURE);
  }

  /** Notes a first token that came far later than expected. */
  public noteDelay(): void {
    this.decrease(DECREASE_ON_DELAY);
  }

  private decrease(factor: number): void {
    const now = this.time.now();
    if (now - this.lastDecreaseAt < DECREASE_INTERVAL_MS) return;
    this.lastDecreaseAt = now;
    this.limit = Math.max(1, this.limit * factor);
  }
}
