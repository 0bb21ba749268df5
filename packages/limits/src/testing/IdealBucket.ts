/** A single bucket that every request reaches without delay: the reference for the fleet. */
export class IdealBucket {
  private level: number;

  private last = 0;

  public constructor(
    private readonly ratePerSecond: number,
    private readonly burst: number,
  ) {
    this.level = burst;
  }

  /** Takes a token at a time in milliseconds. Returns whether one was available. */
  public take(now: number): boolean {
    const refilled = this.level + ((now - this.last) * this.ratePerSecond) / 1_000;
    this.level = Math.min(this.burst, refilled);
    this.last = now;
    if (this.level < 1) return false;
    this.level -= 1;
    return true;
  }
}
