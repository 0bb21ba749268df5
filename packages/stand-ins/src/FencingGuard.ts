/** Tracks the largest fencing number of each scope and optionally rejects smaller ones. */
export class FencingGuard {
  private readonly largest = new Map<string, number>();

  public constructor(private readonly isEnforced: boolean) {}

  /**
   * Records a fencing number. Returns false when it is smaller than the largest one of the scope
   * and the check is enabled. Requests without a scope or number are admitted.
   */
  public admit(scope: string | undefined, fencingNumber: number | undefined): boolean {
    if (scope === undefined || fencingNumber === undefined) return true;
    const largest = this.largest.get(scope) ?? fencingNumber;
    if (this.isEnforced && fencingNumber < largest) return false;
    this.largest.set(scope, Math.max(largest, fencingNumber));
    return true;
  }
}
