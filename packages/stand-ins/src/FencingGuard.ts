/** The largest fencing number seen in each scope. */
export class FencingGuard {
  private readonly largest = new Map<string, number>();

  public constructor(private readonly checks: boolean) {}

  /** Takes a number in; false when it is old and the target checks. */
  public admit(scope: string | undefined, fencingNumber: number | undefined): boolean {
    if (scope === undefined || fencingNumber === undefined) return true;
    const largest = this.largest.get(scope) ?? fencingNumber;
    if (this.checks && fencingNumber < largest) return false;
    this.largest.set(scope, Math.max(largest, fencingNumber));
    return true;
  }
}
