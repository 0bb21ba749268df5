/** What the output of a turn waits for, and how much of it need not wait. */
export interface HeldOutputOptions {
  /**
   * Resolves to true when the log covers the turn, and to false if the call ends before that.
   * Undefined if the log already covers the turn, so that nothing is held back.
   */
  readonly budgetRecorded: Promise<boolean> | undefined;
  /** Tokens that may be sent before the log covers the turn. */
  readonly uncoveredTokens: number;
  readonly isFinished: () => boolean;
  /** Called when a part of the output is held back for the first time. */
  readonly onHeld: () => void;
}

/**
 * Runs the steps of a stream in order and holds them back while the log does not cover the turn,
 * except for the first ones that stay within the turn's allowance.
 */
export class HeldOutput {
  /** Steps that are held back. Undefined if steps run at once. */
  private steps: (() => void)[] | undefined;

  public constructor(private readonly options: HeldOutputOptions) {
    if (options.budgetRecorded !== undefined) this.holdUntil(options.budgetRecorded);
  }

  /** Whether what is received from now on is held back. */
  public get isHolding(): boolean {
    return this.steps !== undefined && (this.steps.length > 0 || this.options.uncoveredTokens <= 0);
  }

  /** Runs a step, now or later. `tokensAfter` is the number of sent tokens if it ran now. */
  public run(tokensAfter: number, step: () => void): void {
    const { onHeld, uncoveredTokens } = this.options;
    if (this.steps === undefined || (!this.isHolding && tokensAfter <= uncoveredTokens)) {
      step();
      return;
    }
    if (this.steps.length === 0) onHeld();
    this.steps.push(step);
  }

  private async holdUntil(budgetRecorded: Promise<boolean>): Promise<void> {
    const steps: (() => void)[] = [];
    this.steps = steps;
    if (!(await budgetRecorded) || this.options.isFinished()) return;
    this.steps = undefined;
    steps.forEach((step) => step());
  }
}
