import type * as clock from '@limpettack/clock';
import type * as turnLog from './TurnLog.js';

/** Turns of processes that have ended, as far as they can be removed. */
export interface Leftovers {
  /** Turns that no caller can continue any more. */
  readonly removable: readonly turnLog.MarkedTurn[];
  /** When the next turn becomes removable; undefined if none will. */
  readonly nextAt: clock.Milliseconds | undefined;
}

/**
 * Decides which turns of ended processes are no longer needed, from repeated listings of all turns. A
 * turn is needed for some time after it was written, and as long as any turn that continues it. The
 * time counts from the listing that contained it first, on the monotonic clock of this process: clocks
 * of VMs differ and jump.
 */
export class LeftoverTurns {
  private firstSeen = new Map<string, clock.Milliseconds>();

  /**
   * @param marginMs How much longer a turn is treated as needed: its response ends after its record,
   * and a turn that continues it is recorded after its run.
   */
  public constructor(private readonly marginMs: clock.Milliseconds) {}

  /**
   * Takes a complete listing.
   * @param isRunning Returns whether a process still runs, and removes its turns itself.
   */
  public update(
    turns: readonly turnLog.MarkedTurn[],
    now: clock.Milliseconds,
    isRunning: (process: string) => boolean,
  ): Leftovers {
    this.firstSeen = new Map(turns.map(({ id }) => [id, this.firstSeen.get(id) ?? now]));
    const neededUntil = this.findNeeds(turns);
    const leftovers = turns.filter(
      ({ keepMs, process }) => keepMs !== undefined && process !== undefined && !isRunning(process),
    );
    const later = leftovers.map(({ id }) => neededUntil.get(id)!).filter((until) => until > now);
    return {
      removable: leftovers.filter(({ id }) => neededUntil.get(id)! <= now),
      nextAt: later.length > 0 ? later.reduce((first, until) => Math.min(first, until)) : undefined,
    };
  }

  /** Returns until when each turn is needed, by itself or by a later turn of its chain. */
  private findNeeds(turns: readonly turnLog.MarkedTurn[]): Map<string, clock.Milliseconds> {
    const previous = new Map(turns.map((turn) => [turn.id, turn.previous]));
    const needs = new Map(turns.map((turn) => [turn.id, this.ownNeed(turn)]));
    [...needs].forEach(([id, until]) => {
      let earlier = previous.get(id);
      while (earlier !== undefined && (needs.get(earlier) ?? Number.POSITIVE_INFINITY) < until) {
        needs.set(earlier, until);
        earlier = previous.get(earlier);
      }
    });
    return needs;
  }

  /** Turns of earlier releases do not say how long they are needed, so they never expire here. */
  private ownNeed({ id, keepMs }: turnLog.MarkedTurn): clock.Milliseconds {
    if (keepMs === undefined) return Number.POSITIVE_INFINITY;
    return this.firstSeen.get(id)! + keepMs + this.marginMs;
  }
}
