import type * as clock from '@limpettack/clock';

/** Kinds of cache event. */
export const CACHE_EVENT_KINDS = { STORED: 'stored', EVICTED: 'evicted' } as const;

/** A published cache event. Sequences start at 1; a gap means that an event was lost. */
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

/** Maximum number of retained events; the oldest are removed first. */
const MAXIMUM_EVENTS = 10_000;

/** Publishes cache events with a delay and loses a configurable share of them. */
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

  /** Adds an event, which is published after the delay unless it is lost. */
  public add(kind: CacheEvent['kind'], program: string, tokens: number): void {
    this.sequence += 1;
    const happenedAt = this.time.now();
    const isLost = this.random() < this.lossProbability;
    this.events.push({ sequence: this.sequence, kind, program, tokens, happenedAt, isLost });
    if (this.events.length > MAXIMUM_EVENTS) this.events.shift();
  }

  /** Published events with a sequence above `after`, and the sequence of the next event. */
  public read(after: number): {
    readonly events: readonly CacheEvent[];
    readonly nextSequence: number;
  } {
    const publishedUntil = this.time.now() - this.delayMs;
    const published = this.events.filter((event) => event.happenedAt <= publishedUntil);
    const events = published
      .filter((event) => event.sequence > after && !event.isLost)
      .map(({ sequence, kind, program, tokens }) => ({ sequence, kind, program, tokens }));
    const nextSequence = Math.max(after, published.at(-1)?.sequence ?? 0) + 1;
    return { events, nextSequence };
  }
}
