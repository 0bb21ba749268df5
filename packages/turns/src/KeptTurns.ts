import type * as clock from '@limpettack/clock';

/** A turn in the log that has to be removed when its time is over. */
export interface KeptTurn {
  readonly id: string;
  /** Of its content, in bytes. */
  readonly size: number;
}

interface Expiry extends KeptTurn {
  readonly expiresAt: clock.Milliseconds;
}

/** Until when the turns that this process wrote are kept. */
export class KeptTurns {
  private readonly expiries = new Map<string, Expiry>();

  /** Begins to keep a turn until a reading of the clock. */
  public add({ id, size }: KeptTurn, expiresAt: clock.Milliseconds): void {
    this.expiries.set(id, { id, size, expiresAt });
  }

  /** Keeps a turn longer, never shorter; false when it is not kept by this process. */
  public keepOn(id: string, expiresAt: clock.Milliseconds): boolean {
    const known = this.expiries.get(id);
    if (known === undefined) return false;
    if (expiresAt > known.expiresAt) this.expiries.set(id, { ...known, expiresAt });
    return true;
  }

  /** Returns turns whose time is over, at most so many, and forgets them. */
  public takeExpired(now: clock.Milliseconds, limit: number): readonly KeptTurn[] {
    const expired = [...this.expiries.values()]
      .filter(({ expiresAt }) => expiresAt <= now)
      .slice(0, limit);
    expired.forEach(({ id }) => this.expiries.delete(id));
    return expired.map(({ id, size }) => ({ id, size }));
  }
}
