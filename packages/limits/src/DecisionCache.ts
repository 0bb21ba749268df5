import type * as clock from '@limpettack/clock';
import * as messages from './messages.js';
import type { GrantResult } from './messages.js';

/** How long a result is cached for retries of the same request. */
const RETENTION_MS = 5_000;

const MAXIMUM_ENTRIES = 100_000;

interface Entry {
  readonly result: Promise<GrantResult>;
  readonly requestedAt: clock.Milliseconds;
}

/** Caches the results of the last few seconds, so that a retried request gets the same result. */
export class DecisionCache {
  private readonly entries = new Map<string, Entry>();

  public constructor(private readonly time: clock.Clock) {}

  /** Returns the result for a request id. `decide` is called only if no result is cached. */
  public get(id: string, decide: () => Promise<GrantResult>): Promise<GrantResult> {
    this.evictExpired();
    const known = this.entries.get(id);
    if (known) return known.result;
    const entry = { result: decide(), requestedAt: this.time.now() };
    this.entries.set(id, entry);
    entry.result.then((result) => this.removeUndecided(id, entry, result));
    return entry.result;
  }

  private removeUndecided(id: string, entry: Entry, result: GrantResult): void {
    const isDecided =
      result.kind === messages.GRANT_RESULT_KINDS.GRANTED ||
      result.kind === messages.GRANT_RESULT_KINDS.REFUSED;
    if (!isDecided && this.entries.get(id) === entry) this.entries.delete(id);
  }

  /**
   * Evicts expired entries, and the oldest ones while there are too many. The map iterates in
   * insertion order.
   */
  private evictExpired(): void {
    const oldest = this.time.now() - RETENTION_MS;

    for (const [id, entry] of this.entries) {
      if (entry.requestedAt > oldest && this.entries.size < MAXIMUM_ENTRIES) return;
      this.entries.delete(id);
    }
  }
}
