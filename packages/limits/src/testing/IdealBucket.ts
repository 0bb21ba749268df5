/** One bucket that every request reaches at once: what the fleet is measured against. */
export class IdealBucket {
  private level: number;

  private last = 0;

  public constructor(
    private readonly ratePerSecond: number,
    private readonly burst: number,
  ) {
    this.level = burst;
  }

  /** Takes a token at a time in milliseconds, if there is one. */
  public take(now: number): boolean {
    const refilled = this.level + ((now - this.last) * this.ratePerSecond) / 1_000;
    this.level = Math.min(this.burst, refilled);
    this.last = now;
    if (this.level < 1) return false;
    this.level -= 1;
    return true;
  }
}
