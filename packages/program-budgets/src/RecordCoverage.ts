/** What one record of a program is certain to cover if the log holds it. */
export class RecordCoverage {
  public constructor(
    private covered: number,
    /** The turns that the record lists as open. */
    private readonly openTurns: ReadonlySet<string>,
  ) {}

  /** Tokens that a home that reads the record charges, also after it has settled the open turns. */
  public get tokens(): number {
    return this.covered;
  }

  /** Deducts the unused tokens of a settled turn if a reader of the record would free them too. */
  public settle(call: string, unusedTokens: number): void {
    if (this.openTurns.has(call)) this.covered -= unusedTokens;
  }

  /** Limits the tokens, because a lower record may replace this one. */
  public limit(tokens: number): void {
    this.covered = Math.min(this.covered, tokens);
  }
}
