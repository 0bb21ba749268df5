import type * as clock from '@limpettack/clock';

const DECREASE_ON_FAILURE = 0.7;
const DECREASE_ON_DELAY = 0.9;

/** Minimum time between decreases, so that simultaneous failures decrease the limit once. */
const DECREASE_INTERVAL_MS = 500;

/**
 * Limits the concurrent calls of this process on a target by additive increase and multiplicative
 * decrease (AIMD). The limit is at least 1 and never exceeds the target's slots.
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

  /** Maximum number of concurrent calls. */
  public get current(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Applies a changed number of slots. Only successful calls raise the limit. */
  public resize(slots: number): void {
    if (slots === this.slots) return;
    this.slots = slots;
    this.limit = Math.min(this.limit, slots);
  }

  /** Notes a successful call. The limit grows only if this call and the other ones used it up. */
  public noteSuccess(otherCalls: number): void {
    if (otherCalls + 1 < this.current) return;
    this.limit = Math.min(this.slots, this.limit + 1 / this.limit);
  }

  /** Notes a call that failed because of the target. */
  public noteFailure(): void {
    this.decrease(DECREASE_ON_FAILURE);
  }

  /** Notes a first token that took far longer than expected. */
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
