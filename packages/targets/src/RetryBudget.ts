/** What a retry budget allows. */
export interface RetryBudgetOptions {
  /** Retries for each call, such as 0.1 for one in ten. */
  readonly fraction: number;
  /** Retries that are allowed at once after calm, and at the start. */
  readonly burst: number;
}

/** Keeps retries to a fraction of the calls, so that failures cannot multiply the load. */
export class RetryBudget {
  private allowance: number;

  public constructor(private readonly options: RetryBudgetOptions) {
    this.allowance = options.burst;
  }

  /** Notes a first attempt. */
  public noteCall(): void {
    this.allowance = Math.min(this.options.burst, this.allowance + this.options.fraction);
  }

  /** Takes a retry from the budget; false when it is used up. */
  public tryRetry(): boolean {
    if (this.allowance < 1) return false;
    this.allowance -= 1;
    return true;
  }
}
