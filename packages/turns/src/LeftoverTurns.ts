import type * as clock from '@limpettack/clock';
import type * as turnLog from './TurnLog.js';

/** The most turns that one listing remembers for leftovers. They take some 10 MB. */
const MAXIMUM_TURNS = 50_000;

/** A turn that can be removed if no needed turn continues it. */
interface Candidate {
  readonly previous: string | undefined;
  readonly partCount: number;
  /** How long it is needed if no turn continues it. */
  readonly spanMs: clock.Milliseconds;
  /** Until when a caller may continue it. Infinite while a needed turn of a running process does. */
  neededUntil: clock.Milliseconds;
}

/** A turn that can be removed. */
export interface RemovableTurn {
  readonly id: string;
  readonly partCount: number;
}

/** What one listing of all turns has shown. */
export interface Leftovers {
  /** Turns of ended processes that no caller can continue any more. */
  readonly removable: readonly RemovableTurn[];
  /** The expired turns that no caller can continue any more, for the processes that wrote them. */
  readonly confirmed: ReadonlySet<string>;
  /** When the next turn may be removable; undefined if none is left over. */
  readonly nextAt: clock.Milliseconds | undefined;
  /** Whether there were too many turns, so that those of ended processes were not considered. */
  readonly isTooLarge: boolean;
}

/**
 * Decides which turns are no longer needed, from listings of all turns. A turn is needed for some
 * time after it was written, and as long as any turn that continues it exists and is needed. A running
 * process reports which of its turns have expired. For turns of ended processes, the time counts from
 * the listing that showed the turn as left over first, on the monotonic clock of this process: clocks of
 * VMs differ and jump.
 */
export class LeftoverTurns {
  private firstSeen = new Map<string, clock.Milliseconds>();

  private readonly candidates = new Map<string, Candidate>();

  /** The turns that needed turns of running processes continue. */
  private readonly continued = new Set<string>();

  private expired: ReadonlySet<string> = new Set();

  private isTooLarge = false;

  /**
   * @param marginMs How much longer a turn is treated as needed: its response ends after its record,
   * and a turn that continues it is recorded after its run.
   * @param maximumTurns The most turns that a listing remembers, in addition to the expired ones.
   */
  public constructor(
    private readonly marginMs: clock.Milliseconds,
    private readonly maximumTurns = MAXIMUM_TURNS,
  ) {}

  /**
   * Starts a listing.
   * @param expired Turns whose retention is over, according to the running processes that wrote them.
   */
  public begin(expired: ReadonlySet<string> = new Set()): void {
    this.candidates.clear();
    this.continued.clear();
    this.expired = expired;
    this.isTooLarge = false;
  }

  /**
   * Takes a turn of a listing.
   * @param isRunning Whether the process that wrote it still runs, and removes it itself.
   */
  public add(turn: turnLog.MarkedTurn, now: clock.Milliseconds, isRunning: boolean): void {
    const { id, keepMs, partCount = 0, previous } = turn;
    if (this.expired.has(id)) {
      const neededUntil = Number.NEGATIVE_INFINITY;
      this.candidates.set(id, { previous, partCount, spanMs: 0, neededUntil });
      return;
    }
    if (isRunning || keepMs === undefined || this.isTooLarge) {
      this.addContinued(previous);
      return;
    }
    const seenAt = this.firstSeen.get(id) ?? now;
    const spanMs = keepMs + this.marginMs;
    this.candidates.set(id, { previous, partCount, spanMs, neededUntil: seenAt + spanMs });
    this.firstSeen.set(id, seenAt);
    this.limitSize();
  }

  /**
   * Ends a complete listing. Turns that may have been continued since it began are not removable.
   * @param startedAt When the listing began.
   */
  public finish(startedAt: clock.Milliseconds): Leftovers {
    const { candidates, continued, expired, isTooLarge } = this;
    if (!isTooLarge) {
      this.firstSeen = new Map([...this.firstSeen].filter(([id]) => candidates.has(id)));
    }
    continued.forEach((id) => this.extendChain(id, Number.POSITIVE_INFINITY));
    candidates.forEach(({ neededUntil, previous }) => this.extendChain(previous, neededUntil));
    const removable: RemovableTurn[] = [];
    let nextAt = Number.POSITIVE_INFINITY;
    candidates.forEach(({ neededUntil, partCount, spanMs }, id) => {
      if (expired.has(id)) return;
      if (neededUntil <= startedAt) removable.push({ id, partCount });
      else
        nextAt = Math.min(nextAt, Number.isFinite(neededUntil) ? neededUntil : startedAt + spanMs);
    });
    // The records of an expired turn may be incomplete, so that it has no marker.
    const confirmed = new Set(
      [...expired].filter(
        (id) => !continued.has(id) && (candidates.get(id)?.neededUntil ?? startedAt) <= startedAt,
      ),
    );
    this.begin();
    const next = Number.isFinite(nextAt) ? nextAt : undefined;
    return { removable, confirmed, nextAt: next, isTooLarge };
  }

  private addContinued(id: string | undefined): void {
    if (id === undefined) return;
    if (this.isTooLarge && !this.expired.has(id)) return;
    this.continued.add(id);
    this.limitSize();
  }

  /**
   * Stops considering turns of ended processes when there are too many turns. The expired turns of
   * running processes need only what continues them.
   */
  private limitSize(): void {
    const { candidates, continued, expired } = this;
    if (this.isTooLarge || candidates.size + continued.size <= this.maximumTurns + expired.size) {
      return;
    }
    this.isTooLarge = true;
    candidates.forEach(({ previous }, id) => {
      if (expired.has(id)) return;
      candidates.delete(id);
      this.addContinued(previous);
    });
    continued.forEach((id) => {
      if (!expired.has(id)) continued.delete(id);
    });
  }

  /** Marks a turn, and those before it, as needed as long as a later turn of their chain. */
  private extendChain(id: string | undefined, until: clock.Milliseconds): void {
    let turn = id === undefined ? undefined : this.candidates.get(id);
    while (turn !== undefined && turn.neededUntil < until) {
      turn.neededUntil = until;
      turn = turn.previous === undefined ? undefined : this.candidates.get(turn.previous);
    }
  }
}
