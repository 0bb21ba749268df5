import type * as clock from '@limpettack/clock';

/** Kinds of cache event. */
export const CACHE_EVENT_KINDS = { STORED: 'stored', EVICTED: 'evicted' } as const;

/** A cache event as it is published. Sequences count from 1; a hole says that one was lost. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: (typeof CACHE_EVENT_KINDS)[keyof typeof CACHE_EVENT_KINDS];
  readonly program: string;
  readonly tokens: number;
}

interface TimedEvent extends CacheEvent {
  readonly happenedAt: clock.Milliseconds;
  readonly isLost: boolean;
}

const KEPT_EVENTS = 10_000;

/** Publishes cache events late and with gaps. */
export class CacheEventFeed {
  private events: TimedEvent[] = [];

  private sequence = 0;

  public constructor(
    private readonly time: clock.Clock,
    private readonly random: () => number,
    private readonly delayMs: clock.Milliseconds,
    /** Share of events that are never published, from 0 to 1. */
    private readonly lossProbability: number,
  ) {}

  /** Takes an event in. */
  public add(kind: CacheEvent['kind'], program: string, tokens: number): void {
    this.sequence += 1;
    const happenedAt = this.time.now();
    const isLost = this.random() < this.lossProbability;
    this.events.push({ sequence: this.sequence, kind, program, tokens, happenedAt, isLost });
    if (this.events.length > KEPT_EVENTS) this.events.shift();
  }

  /** Published events after a sequence, and the sequence that the next published one will have. */
  public read(after: number): {
    readonly events: readonly CacheEvent[];
    readonly nextSequence: number;
  } {
    const until = this.time.now() - this.delayMs;
    const published = this.events.filter((event) => event.happenedAt <= until);
    const events = published
      .filter((event) => event.sequence > after && !event.isLost)
      .map(({ sequence, kind, program, tokens }) => ({ sequence, kind, program, tokens }));
    const nextSequence = Math.max(after, published.at(-1)?.sequence ?? 0) + 1;
    return { events, nextSequence };
  }
}
