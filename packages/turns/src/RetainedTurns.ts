import type * as clock from '@limpettack/clock';

/** A turn in the log that has to be removed when its retention ends. */
export interface RetainedTurn {
  readonly id: string;
  /** Size of its content, in bytes. */
  readonly size: number;
}

interface Expiry extends RetainedTurn {
  readonly expiresAt: clock.Milliseconds;
}

/** The times until which the turns that this process wrote are retained. */
export class RetainedTurns {
  private readonly expiries = new Map<string, Expiry>();

  /** Registers a turn that is retained until `expiresAt`, a time of the monotonic clock. */
  public add({ id, size }: RetainedTurn, expiresAt: clock.Milliseconds): void {
    this.expiries.set(id, { id, size, expiresAt });
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

  /** Returns at most `limit` turns whose retention is over, and stops tracking them. */
  public takeExpired(now: clock.Milliseconds, limit: number): readonly RetainedTurn[] {
    const expired = [...this.expiries.values()]
      .filter(({ expiresAt }) => expiresAt <= now)
      .slice(0, limit);
    expired.forEach(({ id }) => this.expiries.delete(id));
    return expired.map(({ id, size }) => ({ id, size }));
  }
}
