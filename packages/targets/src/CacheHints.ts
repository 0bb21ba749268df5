/** Maximum number of programs tracked per target. */
const MAXIMUM_PROGRAMS = 20_000;

/** A change of a target's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly program: string;
  readonly tokens: number;
}

/** Estimates the prompt tokens that a target has cached, by program. */
export class CacheHints {
  private readonly tokens = new Map<string, number>();

  /** Sequence number of the last applied event; undefined if all sessions must be read first. */
  private lastSequence: number | undefined;

  /** The sequence number after which the next read starts. */
  public get after(): number {
    return this.lastSequence ?? 0;
  }

  /** Returns the estimated cached tokens of a program's prompt. */
  public cachedTokens(program: string): number {
    return this.tokens.get(program) ?? 0;
  }

  /** Records the tokens that a program has in the cache. */
  public recordCached(program: string, tokens: number): void {
    // Deleting the program first keeps the map ordered by last use.
    this.tokens.delete(program);
    this.tokens.set(program, tokens);
    const [oldest] = this.tokens.keys();
    if (this.tokens.size > MAXIMUM_PROGRAMS && oldest !== undefined) this.tokens.delete(oldest);
  }

  /** Applies events. Returns true if some were missed: `replace` must then be called. */
  public applyEvents(events: readonly CacheEvent[], nextSequence: number): boolean {
    const before = this.lastSequence;
    const isRestarted = before !== undefined && nextSequence <= before;
    let expected = before === undefined ? undefined : before + 1;
    let isComplete = before !== undefined && !isRestarted;
    events.forEach((event) => {
      if (expected !== undefined && event.sequence !== expected) isComplete = false;
      expected = event.sequence + 1;
      if (event.kind === 'stored') this.recordCached(event.program, event.tokens);
      else this.tokens.delete(event.program);
    });
    const last = events.at(-1)?.sequence;
    const lastPublished = isRestarted || before === undefined ? nextSequence - 1 : before;
    this.lastSequence = last ?? lastPublished;
    return !isComplete;
  }

  /** Replaces all hints with the sessions that the target reports. */
  public replace(holdings: readonly { readonly program: string; readonly tokens: number }[]): void {
    this.tokens.clear();
    holdings.forEach((holding) => this.recordCached(holding.program, holding.tokens));
  }

  /** Discards all hints, for example after a restart of the target. */
  public clear(): void {
    this.tokens.clear();
    this.lastSequence = undefined;
  }
}
