import type * as clock from '@limpettack/clock';
import type * as turnLog from './TurnLog.js';

/** A turn of a process that has ended. */
interface Leftover {
  readonly previous: string | undefined;
  readonly partCount: number;
  /** How long it is needed if no turn continues it. */
  readonly spanMs: clock.Milliseconds;
  /** Until when a caller may continue it. Infinite while a running process has continued it. */
  neededUntil: clock.Milliseconds;
}

/** A turn that can be removed. */
export interface RemovableTurn {
  readonly id: string;
  readonly partCount: number;
}

/** What one listing of all turns has shown. */
export interface Leftovers {
  /** Turns that no caller can continue any more. */
  readonly removable: readonly RemovableTurn[];
  /** When the next turn may be removable; undefined if none is left over. */
  readonly nextAt: clock.Milliseconds | undefined;
}

/**
 * Decides which turns of ended processes are no longer needed, from listings of all turns. A turn is
 * needed for some time after it was written, and as long as any turn that continues it exists. The time
 * counts from the listing that showed the turn as left over first, on the monotonic clock of this
 * process: clocks of VMs differ and jump.
 */
export class LeftoverTurns {
  private firstSeen = new Map<string, clock.Milliseconds>();

  private readonly leftovers = new Map<string, Leftover>();

  /** The turns that turns of running processes continue. */
  private readonly continued = new Set<string>();

  /**
   * @param marginMs How much longer a turn is treated as needed: its response ends after its record,
   * and a turn that continues it is recorded after its run.
   */
  public constructor(private readonly marginMs: clock.Milliseconds) {}

  /** The number of turns that are remembered during a listing. */
  public get size(): number {
    return this.leftovers.size + this.continued.size;
  }

  /** Starts a listing. */
  public begin(): void {
    this.leftovers.clear();
    this.continued.clear();
  }

  /**
   * Takes a turn of a listing.
   * @param isRunning Whether the process that wrote it still runs, and removes it itself.
   */
  public add(turn: turnLog.MarkedTurn, now: clock.Milliseconds, isRunning: boolean): void {
    const { id, keepMs, partCount = 0, previous } = turn;
    if (isRunning || keepMs === undefined) {
      if (previous !== undefined) this.continued.add(previous);
      return;
    }
    const seenAt = this.firstSeen.get(id) ?? now;
    const spanMs = keepMs + this.marginMs;
    this.leftovers.set(id, { previous, partCount, spanMs, neededUntil: seenAt + spanMs });
    this.firstSeen.set(id, seenAt);
  }

  /**
   * Ends a complete listing. Turns that may have been continued since it began are not removable.
   * @param startedAt When the listing began.
   */
  public finish(startedAt: clock.Milliseconds): Leftovers {
    this.firstSeen = new Map([...this.firstSeen].filter(([id]) => this.leftovers.has(id)));
    this.continued.forEach((id) => this.extendChain(id, Number.POSITIVE_INFINITY));
    this.leftovers.forEach(({ neededUntil, previous }) => this.extendChain(previous, neededUntil));
    const removable: RemovableTurn[] = [];
    let nextAt = Number.POSITIVE_INFINITY;
    this.leftovers.forEach(({ neededUntil, partCount, spanMs }, id) => {
      if (neededUntil <= startedAt) removable.push({ id, partCount });
      else
        nextAt = Math.min(nextAt, Number.isFinite(neededUntil) ? neededUntil : startedAt + spanMs);
    });
    this.begin();
    return { removable, nextAt: Number.isFinite(nextAt) ? nextAt : undefined };
  }

  /** Marks a turn, and those before it, as needed as long as a later turn of their chain. */
  private extendChain(id: string | undefined, until: clock.Milliseconds): void {
    let turn = id === undefined ? undefined : this.leftovers.get(id);
    while (turn !== undefined && turn.neededUntil < until) {
      turn.neededUntil = until;
      turn = turn.previous === undefined ? undefined : this.leftovers.get(turn.previous);
    }
  }
}
