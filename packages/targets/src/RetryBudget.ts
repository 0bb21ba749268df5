/** Limits of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries per call, for example 0.1 for one retry in ten calls. */
  readonly fraction: number;
  /** Maximum number of retries that can accumulate, which is also the initial number. */
  readonly burst: number;
}

/** Limits retries to a fraction of the calls, so that failures cannot multiply the load. */
export class RetryBudget {
  private allowance: number;

  public constructor(private readonly options: RetryBudgetOptions) {
    this.allowance = options.burst;
  }

  /** Notes the first attempt of a call. */
  public noteCall(): void {
    this.allowance = Math.min(this.options.burst, this.allowance + this.options.fraction);
  }

  /** Takes a retry from the budget. Returns false if none is left. */
  public tryRetry(): boolean {
    if (this.allowance < 1) return false;
    this.allowance -= 1;
    return true;
  }
}
