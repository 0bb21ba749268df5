/** Programs whose cached prefixes are remembered for a target. */
const MAXIMUM_PROGRAMS = 20_000;

/** One change of a target's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly program: string;
  readonly tokens: number;
}

/** What a target probably has cached, by program. */
export class CacheHints {
  private readonly tokens = new Map<string, number>();

  /** The last event that was taken in; nothing when the events must be followed anew. */
  private lastSequence: number | undefined;

  /** Where to go on reading. */
  public get after(): number {
    return this.lastSequence ?? 0;
  }

  /** Cached tokens of a program's prompt, estimated. */
  public cachedTokens(program: string): number {
    return this.tokens.get(program) ?? 0;
  }

  /** Notes what a program's call left in the cache. */
  public note(program: string, tokens: number): void {
    // Taking the program out first keeps the map in the order of use.
    this.tokens.delete(program);
    this.tokens.set(program, tokens);
    const [oldest] = this.tokens.keys();
    if (this.tokens.size > MAXIMUM_PROGRAMS && oldest !== undefined) this.tokens.delete(oldest);
  }

  /** Takes events in; true when some were missed, so that the whole state must be read. */
  public learn(events: readonly CacheEvent[], nextSequence: number): boolean {
    const before = this.lastSequence;
    const isRestarted = before !== undefined && nextSequence <= before;
    let expected = before === undefined ? undefined : before + 1;
    let isComplete = before !== undefined && !isRestarted;
    events.forEach((event) => {
      if (expected !== undefined && event.sequence !== expected) isComplete = false;
      expected = event.sequence + 1;
      if (event.kind === 'stored') this.note(event.program, event.tokens);
      else this.tokens.delete(event.program);
    });
    const last = events.at(-1)?.sequence;
    const unread = isRestarted || before === undefined ? nextSequence - 1 : before;
    this.lastSequence = last ?? unread;
    return !isComplete;
  }

  /** Replaces everything by what the target says it holds. */
  public replace(holdings: readonly { readonly program: string; readonly tokens: number }[]): void {
    this.tokens.clear();
    holdings.forEach((holding) => this.note(holding.program, holding.tokens));
  }

  /** Forgets all, such as when the target has restarted. */
  public forget(): void {
    this.tokens.clear();
    this.lastSequence = undefined;
  }
}
