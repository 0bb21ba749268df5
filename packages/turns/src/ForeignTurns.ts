import type * as clock from '@limpettack/clock';

/**
 * A turn is kept on once this part of its retention is over. Until then a conversation costs
 * nothing, and most of the retention is left to reach the VM that wrote the turn.
 */
export const KEEP_ON_SHARE = 1 / 3;

/** Between two messages to one VM; what comes meanwhile shares the next one. */
const ASK_INTERVAL_MS = 1_000;

/**
 * The time between two messages doubles up to this while a VM does not answer. Many VMs may be gone at
 * once; one that returns still hears of its turns well within the two thirds that are left to tell it.
 */
const LONGEST_ASK_INTERVAL_MS = 4_000;

/** Turns named in one message at most. */
const TURNS_PER_MESSAGE = 1_000;

/** A turn that another VM wrote, and that later turns need. */
export interface ForeignTurn {
  readonly id: string;
  /** The address of the VM that wrote it and removes it. */
  readonly writer: string;
  /** How long ago it was written; a hint. */
  readonly ageMs: clock.Milliseconds;
}

/** A turn that its writer has to keep on. */
export interface NeededTurn {
  readonly id: string;
  /** When a turn that goes on from it was kept last, or ends at the latest. */
  readonly neededFrom: clock.Milliseconds;
  /** How much longer it has to be kept. */
  readonly spanMs: clock.Milliseconds;
}

/** What a VM has to be told. */
export interface DueTurns {
  readonly writer: string;
  readonly turns: readonly NeededTurn[];
}

interface Need {
  readonly id: string;
  retentionMs: clock.Milliseconds;
  /** Its writer keeps it for its retention from then on, as far as is known here. */
  keptFrom: clock.Milliseconds;
  neededFrom: clock.Milliseconds;
  /** What its writer was told last; nothing yet, whatever the hint of its age says. */
  toldFrom?: clock.Milliseconds;
}

interface Writer {
  readonly needs: Map<string, Need>;
  /** Whether it has not taken what it was told last. */
  isUnanswered: boolean;
  askedAt: clock.Milliseconds;
  /** Until it is told again. */
  restMs: clock.Milliseconds;
}

/** Which turns of other VMs have to be kept on, and when those VMs are to be told. */
export class ForeignTurns {
  private readonly writers = new Map<string, Writer>();

  /** Whether there is nothing to be told, now or later. */
  public get isEmpty(): boolean {
    return this.writers.size === 0;
  }

  /**
   * Notes that a turn has to be kept for a retention, from now on or from a later time; true if that
   * is to be told now.
   */
  public need(
    { ageMs, id, writer }: ForeignTurn,
    retentionMs: clock.Milliseconds,
    now: clock.Milliseconds,
    neededFrom = now,
  ): boolean {
    const { needs } = this.writerAt(writer);
    const known: Need = needs.get(id) ?? {
      id,
      retentionMs,
      keptFrom: now - ageMs,
      neededFrom,
    };
    known.retentionMs = Math.max(known.retentionMs, retentionMs);
    known.neededFrom = Math.max(known.neededFrom, neededFrom);
    needs.set(id, known);
    return isLate(known, now);
  }

  /**
   * Returns the VMs that have to be told now. All that one has to be told goes with the first of
   * its turns that is due, and comes again until it is noted as taken.
   */
  public takeDue(now: clock.Milliseconds): readonly DueTurns[] {
    const due: DueTurns[] = [];
    this.writers.forEach(({ askedAt, needs, restMs }, writer) => {
      const isRested = now - askedAt >= restMs;
      if (isRested && [...needs.values()].some((need) => isOpen(need) && isLate(need, now))) {
        due.push({ writer, turns: openTurns(needs, now) });
      }
    });
    due.forEach(({ writer }) => {
      const asked = this.writerAt(writer);
      if (asked.isUnanswered) asked.restMs = Math.min(2 * asked.restMs, LONGEST_ASK_INTERVAL_MS);
      asked.isUnanswered = true;
      asked.askedAt = now;
    });
    return due;
  }

  /** Notes that a VM has taken what it was told. */
  public noteTaken({ turns, writer }: DueTurns): void {
    const told = this.writers.get(writer);
    if (told === undefined) return;
    const { needs } = told;
    told.isUnanswered = false;
    told.restMs = ASK_INTERVAL_MS;
    turns.forEach(({ id, neededFrom }) => {
      const need = needs.get(id);
      if (need === undefined) return;
      need.keptFrom = Math.max(need.keptFrom, neededFrom);
      need.toldFrom = neededFrom;
    });
  }

  /** Forgets what is settled, and returns what could not be told while it was needed. */
  public forgetOver(now: clock.Milliseconds): readonly DueTurns[] {
    const missed: DueTurns[] = [];
    this.writers.forEach(({ needs }, writer) => {
      const over = [...needs.values()].filter((need) => isOver(need, now));
      over.forEach(({ id }) => needs.delete(id));
      const turns = over.filter(isOpen).map((need) => toNeeded(need, now));
      if (turns.length > 0) missed.push({ writer, turns });
      if (needs.size === 0) this.writers.delete(writer);
    });
    return missed;
  }

  private writerAt(address: string): Writer {
    const known = this.writers.get(address);
    if (known !== undefined) return known;
    const created = {
      needs: new Map<string, Need>(),
      askedAt: -Infinity,
      isUnanswered: false,
      restMs: ASK_INTERVAL_MS,
    };
    this.writers.set(address, created);
    return created;
  }
}

/** Whether the writer does not know yet how long the turn is needed. */
function isOpen({ neededFrom, toldFrom }: Need): boolean {
  return toldFrom === undefined || neededFrom > toldFrom;
}

function isLate({ keptFrom, retentionMs }: Need, now: clock.Milliseconds): boolean {
  return now >= keptFrom + KEEP_ON_SHARE * retentionMs;
}

/** A turn that is kept long enough is forgotten once it would have to be told at once again. */
function isOver(need: Need, now: clock.Milliseconds): boolean {
  return isOpen(need) ? now >= need.neededFrom + need.retentionMs : isLate(need, now);
}

function openTurns(
  needs: ReadonlyMap<string, Need>,
  now: clock.Milliseconds,
): readonly NeededTurn[] {
  return [...needs.values()]
    .filter(isOpen)
    .slice(0, TURNS_PER_MESSAGE)
    .map((need) => toNeeded(need, now));
}

function toNeeded({ id, neededFrom, retentionMs }: Need, now: clock.Milliseconds): NeededTurn {
  return { id, neededFrom, spanMs: neededFrom + retentionMs - now };
}
