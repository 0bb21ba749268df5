import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type { Target } from './Types.js';

/** Grace period after an outage of the log for targets that disappeared from the list during it. */
const RETURN_GRACE_MS = 2_200;

/**
 * Share of a pool that must have disappeared for the grace period to apply. In an outage of the log
 * no target can renew its entry. If most entries are still there, only this VM was cut off, and the
 * others were removed because their targets left.
 */
const OUTAGE_SHARE = 0.5;

/** Dependencies of the registry. */
export interface TargetRegistryOptions {
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /**
   * Returns the time until which entries may disappear from the list only because targets could not
   * renew them during an outage of the log. It is in the past if the log has been reachable. On
   * this process's own clock.
   */
  readonly listUnreliableUntil: () => clock.Milliseconds;
}

interface Entry {
  readonly target: Target;
  /**
   * Set if the entry disappeared from the list during an outage of the log. The target may stay
   * usable until this time, because it may still run.
   */
  missingUntil: clock.Milliseconds | undefined;
  /** Whether the process itself has announced its shutdown, whatever the list states. */
  isLeaving: boolean;
}

/** The known targets, from the platform's list. */
export class TargetRegistry {
  private readonly entries = new Map<string, Entry>();

  private readonly removedEmitter = new lifetime.Emitter<Target>();

  /** Fires when a target has been removed or its process has been replaced. */
  public readonly onRemoved = this.removedEmitter.event;

  /** Opens when the complete list has been read. */
  public readonly known = new lifetime.Latch();

  public constructor(private readonly options: TargetRegistryOptions) {}

  /** Replaces all known targets. */
  public reset(targets: readonly Target[]): void {
    const listed = new Set(targets.map(({ id }) => id));
    [...this.entries.keys()].filter((id) => !listed.has(id)).forEach((id) => this.remove(id));
    targets.forEach((target) => this.update(target));
    this.known.open();
  }

  /** Adds or updates the entry of a target. */
  public update(target: Target): void {
    const entry = this.entries.get(target.id);
    const former = entry?.target;
    const isSame = former !== undefined && isSameProcess(former, target);
    if (former !== undefined && !isSame) this.removedEmitter.fire(former);
    const isLeaving = isSame && entry!.isLeaving;
    this.entries.set(target.id, { target, missingUntil: undefined, isLeaving });
    if (isSame && former.isDraining === target.isDraining) return;
    this.options.logger.info('A target was listed.', {
      target: target.id,
      kind: target.isDraining ? 'draining' : 'ready',
      reason: `${target.pool} at ${target.address}`,
    });
  }

  /**
   * Records that the target's process has announced its shutdown, which its entry in the list may
   * show later or never. A shutdown is final, so the target stays unusable until another process
   * has its id.
   */
  public markLeaving(target: Target): void {
    const entry = this.entries.get(target.id);
    if (entry === undefined || entry.isLeaving || !isSameProcess(entry.target, target)) return;
    entry.isLeaving = true;
    const reason = 'announced in a response';
    this.options.logger.info('A target is shutting down.', { target: target.id, reason });
  }

  /**
   * Removes a target. During an outage of the log, a target that is not draining instead stays
   * usable until the end of the grace period, if most of its pool disappears with it.
   */
  public remove(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const { clock: time, listUnreliableUntil, logger } = this.options;
    const now = time.now();
    if (listUnreliableUntil() > now && !entry.target.isDraining) {
      entry.missingUntil ??= listUnreliableUntil() + RETURN_GRACE_MS;
      logger.warn('The entry of a target disappeared during an outage.', { target: id });
      return;
    }
    this.entries.delete(id);
    logger.info('A target has gone.', { target: id });
    this.removedEmitter.fire(entry.target);
  }

  /** The targets of a pool that accept new work. */
  public usable(pool: string): readonly Target[] {
    const entries = this.entriesOf(pool);
    const now = this.options.clock.now();
    const mayUseMissing = isOutage(entries, now);
    return entries
      .filter((entry) => acceptsWork(entry, now, mayUseMissing))
      .map(({ target }) => target);
  }

  /** All known targets of a pool, including those that accept no new work. */
  public listed(pool: string): readonly Target[] {
    return this.entriesOf(pool).map(({ target }) => target);
  }

  /** Returns a known target by its id. */
  public find(id: string): Target | undefined {
    return this.entries.get(id)?.target;
  }

  /** Whether a target still accepts new work. */
  public isUsable(target: Target): boolean {
    const entry = this.entries.get(target.id);
    if (entry === undefined || !isSameProcess(entry.target, target)) return false;
    const now = this.options.clock.now();
    return acceptsWork(entry, now, isOutage(this.entriesOf(target.pool), now));
  }

  private entriesOf(pool: string): readonly Entry[] {
    return [...this.entries.values()].filter(({ target }) => target.pool === pool);
  }
}

/** Whether so many entries of a pool have just disappeared that their targets may still run. */
function isOutage(entries: readonly Entry[], now: clock.Milliseconds): boolean {
  const listed = entries.filter(({ missingUntil }) => missingUntil === undefined).length;
  const missing = entries.filter(({ missingUntil = 0 }) => missingUntil > now).length;
  return missing > OUTAGE_SHARE * (listed + missing);
}

function acceptsWork(entry: Entry, now: clock.Milliseconds, mayUseMissing: boolean): boolean {
  const { isLeaving, missingUntil, target } = entry;
  if (isLeaving || target.isDraining) return false;
  return missingUntil === undefined || (mayUseMissing && missingUntil > now);
}

function isSameProcess(left: Target, right: Target): boolean {
  return left.address === right.address && left.incarnation === right.incarnation;
}
