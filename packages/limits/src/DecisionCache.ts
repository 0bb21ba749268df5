import type * as clock from '@limpettack/clock';
import * as messages from './messages.js';
import type { GrantAnswer } from './messages.js';

/** How long an answer is kept for a request that is asked again. */
const KEPT_MS = 5_000;

const MAXIMUM_ENTRIES = 100_000;

interface Entry {
  readonly answer: Promise<GrantAnswer>;
  readonly askedAt: clock.Milliseconds;
}

/** Answers of the last few seconds, so that a request asked again gets the same one. */
export class DecisionCache {
  private readonly entries = new Map<string, Entry>();

  public constructor(private readonly time: clock.Clock) {}

  /** The answer to a request of this id, decided on the first call only. */
  public get(id: string, decide: () => Promise<GrantAnswer>): Promise<GrantAnswer> {
    this.forgetOld();
    const known = this.entries.get(id);
    if (known) return known.answer;
    const entry = { answer: decide(), askedAt: this.time.now() };
    this.entries.set(id, entry);
    entry.answer.then((answer) => this.forgetUndecided(id, entry, answer));
    return entry.answer;
  }

  private forgetUndecided(id: string, entry: Entry, answer: GrantAnswer): void {
    const isDecided =
      answer.kind === messages.ANSWER_KINDS.GRANTED ||
      answer.kind === messages.ANSWER_KINDS.REFUSED;
    if (!isDecided && this.entries.get(id) === entry) this.entries.delete(id);
  }

  /** Drops entries from the oldest on; the map keeps them in the order of their coming. */
  private forgetOld(): void {
    const limit = this.time.now() - KEPT_MS;

    for (const [id, entry] of this.entries) {
      if (entry.askedAt > limit && this.entries.size < MAXIMUM_ENTRIES) return;
      this.entries.delete(id);
    }
  }
}
