import type * as journal from '@limpettack/journal';

/** A log with the claims of one shard, for tests. */
export class FakeLog {
  public readonly claims: journal.Ownership[] = [];

  public isAvailable = true;

  /** Appends a claim. It is ignored unless its epoch is the one after the latest. */
  public append(claim: journal.Ownership): void {
    const current = this.claims.at(-1)?.epoch ?? 0;
    if (claim.epoch === current + 1) this.claims.push(claim);
  }
}
