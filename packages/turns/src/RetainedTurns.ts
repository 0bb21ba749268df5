import type * as clock from '@limpettack/clock';

/** A turn in the log that has to be removed when its retention ends. */
export interface RetainedTurn {
  readonly id: string;
  /** Size of its content, in bytes. */
  readonly size: number;
}

interface Expiry extends RetainedTurn {
  readonly addedAt: clock.Milliseconds;
  readonly expiresAt: clock.Milliseconds;
}

/** The times until which the turns that this process wrote are retained. */
export class RetainedTurns {
  private readonly expiries = new Map<string, Expiry>();

  /**
   * Registers a turn that is retained until `expiresAt`. All times are of the monotonic clock.
   * @param addedAt When the turn was written.
   */
  public add(
    { id, size }: RetainedTurn,
    expiresAt: clock.Milliseconds,
    addedAt: clock.Milliseconds = Number.NEGATIVE_INFINITY,
  ): void {
    this.expiries.set(id, { id, size, addedAt, expiresAt });
  }

  /**
   * Extends the retention of a turn, never shortens it. Returns false if the turn is not
   * registered.
   */
  public extend(id: string, expiresAt: clock.Milliseconds): boolean {
    const current = this.expiries.get(id);
    if (current === undefined) return false;
    if (expiresAt > current.expiresAt) this.expiries.set(id, { ...current, expiresAt });
    return true;
  }

  /**
   * Returns at most `limit` turns whose retention is over, and stops tracking them.
   * @param writtenAfter Only turns that were written after this time are returned.
   */
  public takeExpired(
    now: clock.Milliseconds,
    limit: number,
    writtenAfter: clock.Milliseconds = Number.NEGATIVE_INFINITY,
  ): readonly RetainedTurn[] {
    const expired = [...this.expiries.values()]
      .filter(({ addedAt, expiresAt }) => expiresAt <= now && addedAt >= writtenAfter)
      .slice(0, limit);
    return expired.map((turn) => this.take(turn));
  }

  /** Returns the ids of all turns whose retention is over. They remain tracked. */
  public listExpired(now: clock.Milliseconds): readonly string[] {
    return [...this.expiries.values()]
      .filter(({ expiresAt }) => expiresAt <= now)
      .map(({ id }) => id);
  }

  /** Returns those of some turns whose retention is over, and stops tracking them. */
  public takeIfExpired(ids: readonly string[], now: clock.Milliseconds): readonly RetainedTurn[] {
    return ids.flatMap((id) => {
      const turn = this.expiries.get(id);
      return turn !== undefined && turn.expiresAt <= now ? [this.take(turn)] : [];
    });
  }

  private take({ id, size }: Expiry): RetainedTurn {
    this.expiries.delete(id);
    return { id, size };
  }
}
