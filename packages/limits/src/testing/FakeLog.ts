import type * as journal from '@limpettack/journal';

/** A log of the claims of one shard, for tests. */
export class FakeLog {
  public readonly claims: journal.Ownership[] = [];

  public isAvailable = true;

  /** Appends a claim; it counts only when its epoch follows on the latest one. */
  public append(claim: journal.Ownership): void {
    const current = this.claims.at(-1)?.epoch ?? 0;
    if (claim.epoch === current + 1) this.claims.push(claim);
  }
}
