import type * as clock from '@limpettack/clock';

/**
 * Share of a turn's retention that passes before the retention is extended. A young conversation
 * thus needs no message, and most of the retention is left to reach the VM that wrote the turn.
 */
export const EXTEND_AFTER_SHARE = 1 / 3;

/**
 * Minimum time between two messages to one VM. Extensions that become necessary in the meantime are
 * sent together.
 */
const REQUEST_INTERVAL_MS = 1_000;

/**
 * Maximum time between two messages to a VM that does not respond. The time doubles after each
 * message, since many VMs may be unreachable at once. A VM that becomes reachable again still
 * receives its extensions well within the two thirds of the retention that remain.
 */
const MAXIMUM_INTERVAL_MS = 4_000;

/** The maximum number of turns in one message. */
const MAXIMUM_TURNS_PER_MESSAGE = 1_000;

/** A turn that another VM wrote and that later turns continue. */
export interface RemoteTurn {
  readonly id: string;
  /** The address of the VM that wrote the turn and will remove it. */
  readonly writer: string;
  /** Time since the turn was written. Approximate, since the clocks of VMs differ. */
  readonly ageMs: clock.Milliseconds;
}

/** A turn whose retention its writer has to extend. */
export interface TurnExtension {
  readonly id: string;
  /**
   * The turn has to be retained for its full retention from this time on. The time lies in the
   * future if a turn that continues it may run longer than the retention.
   */
  readonly neededFrom: clock.Milliseconds;
  /** How long the turn has to be retained from now on. */
  readonly spanMs: clock.Milliseconds;
}

/** The extensions to request from one VM. */
export interface ExtensionRequest {
  readonly writer: string;
  readonly turns: readonly TurnExtension[];
}

interface Requirement {
  readonly id: string;
  retentionMs: clock.Milliseconds;
  /** As far as is known here, the writer retains the turn for its retention from this time on. */
  retainedFrom: clock.Milliseconds;
  neededFrom: clock.Milliseconds;
  /**
   * The `neededFrom` that the writer acknowledged last; undefined until the first acknowledgement.
   */
  acknowledgedFrom?: clock.Milliseconds;
}

interface WriterState {
  readonly requirements: Map<string, Requirement>;
  /** Whether the last request has not been acknowledged. */
  isUnanswered: boolean;
  requestedAt: clock.Milliseconds;
  /** Minimum time from `requestedAt` to the next message. */
  intervalMs: clock.Milliseconds;
}

/**
 * Tracks which turns of other VMs need a longer retention, and when to request it from those VMs.
 */
export class RetentionExtensions {
  private readonly writers = new Map<string, WriterState>();

  /** Whether there is nothing to request, now or later. */
  public get isEmpty(): boolean {
    return this.writers.size === 0;
  }

  /**
   * Records that a turn has to be retained for `retentionMs` from now on, or from a later time.
   * Returns true if the extension is already due.
   */
  public addRequirement(
    { ageMs, id, writer }: RemoteTurn,
    retentionMs: clock.Milliseconds,
    now: clock.Milliseconds,
    neededFrom = now,
  ): boolean {
    const { requirements } = this.writerState(writer);
    const known: Requirement = requirements.get(id) ?? {
      id,
      retentionMs,
      retainedFrom: now - ageMs,
      neededFrom,
    };
    known.retentionMs = Math.max(known.retentionMs, retentionMs);
    known.neededFrom = Math.max(known.neededFrom, neededFrom);
    requirements.set(id, known);
    return isDue(known, now);
  }

  /**
   * Returns the requests to send now. Once one extension of a VM's turns is due, the request to
   * that VM contains all its pending extensions, up to the maximum of one message. Until it is
   * acknowledged, the request is returned again after each interval.
   */
  public takeDue(now: clock.Milliseconds): readonly ExtensionRequest[] {
    const due: ExtensionRequest[] = [];
    this.writers.forEach(({ requestedAt, requirements, intervalMs }, writer) => {
      const isIntervalOver = now - requestedAt >= intervalMs;
      if (
        isIntervalOver &&
        [...requirements.values()].some(
          (requirement) => isPending(requirement) && isDue(requirement, now),
        )
      ) {
        due.push({ writer, turns: pendingExtensions(requirements, now) });
      }
    });
    due.forEach(({ writer }) => {
      const state = this.writerState(writer);
      if (state.isUnanswered)
        state.intervalMs = Math.min(2 * state.intervalMs, MAXIMUM_INTERVAL_MS);
      state.isUnanswered = true;
      state.requestedAt = now;
    });
    return due;
  }

  /** Records that a VM has received a request. */
  public acknowledge({ turns, writer }: ExtensionRequest): void {
    const state = this.writers.get(writer);
    if (state === undefined) return;
    const { requirements } = state;
    state.isUnanswered = false;
    state.intervalMs = REQUEST_INTERVAL_MS;
    turns.forEach(({ id, neededFrom }) => {
      const requirement = requirements.get(id);
      if (requirement === undefined) return;
      requirement.retainedFrom = Math.max(requirement.retainedFrom, neededFrom);
      requirement.acknowledgedFrom = neededFrom;
    });
  }

  /**
   * Removes finished requirements. Returns the extensions that are now obsolete and were never
   * acknowledged.
   */
  public removeFinished(now: clock.Milliseconds): readonly ExtensionRequest[] {
    const unacknowledged: ExtensionRequest[] = [];
    this.writers.forEach(({ requirements }, writer) => {
      const finished = [...requirements.values()].filter((requirement) =>
        isFinished(requirement, now),
      );
      finished.forEach(({ id }) => requirements.delete(id));
      const turns = finished.filter(isPending).map((requirement) => toExtension(requirement, now));
      if (turns.length > 0) unacknowledged.push({ writer, turns });
      if (requirements.size === 0) this.writers.delete(writer);
    });
    return unacknowledged;
  }

  private writerState(address: string): WriterState {
    const known = this.writers.get(address);
    if (known !== undefined) return known;
    const created = {
      requirements: new Map<string, Requirement>(),
      requestedAt: -Infinity,
      isUnanswered: false,
      intervalMs: REQUEST_INTERVAL_MS,
    };
    this.writers.set(address, created);
    return created;
  }
}

/** Whether the writer has not acknowledged the latest extension of the turn yet. */
function isPending({ neededFrom, acknowledgedFrom }: Requirement): boolean {
  return acknowledgedFrom === undefined || neededFrom > acknowledgedFrom;
}

function isDue({ retainedFrom, retentionMs }: Requirement, now: clock.Milliseconds): boolean {
  return now >= retainedFrom + EXTEND_AFTER_SHARE * retentionMs;
}

/**
 * Whether a requirement can be removed. A pending one is obsolete when its retention is over. An
 * acknowledged one is kept until a new requirement for the turn would be due at once anyway.
 */
function isFinished(requirement: Requirement, now: clock.Milliseconds): boolean {
  return isPending(requirement)
    ? now >= requirement.neededFrom + requirement.retentionMs
    : isDue(requirement, now);
}

function pendingExtensions(
  requirements: ReadonlyMap<string, Requirement>,
  now: clock.Milliseconds,
): readonly TurnExtension[] {
  return [...requirements.values()]
    .filter(isPending)
    .slice(0, MAXIMUM_TURNS_PER_MESSAGE)
    .map((requirement) => toExtension(requirement, now));
}

function toExtension(
  { id, neededFrom, retentionMs }: Requirement,
  now: clock.Milliseconds,
): TurnExtension {
  return { id, neededFrom, spanMs: neededFrom + retentionMs - now };
}
