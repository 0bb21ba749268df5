import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type { Target } from './Types.js';

/** A target that left the list during an outage of the log may come back for so long. */
const RETURN_MS = 2_200;

/** What the registry needs. */
export interface TargetRegistryOptions {
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /**
   * Until when entries that vanish may be missing only because targets could not renew them; the
   * past when the log has been reachable. On the process's own clock.
   */
  readonly lapseDoubtUntil: () => clock.Milliseconds;
}

interface KnownTarget {
  readonly target: Target;
  /** Set when the entry has gone but the target may live. */
  missingUntil: clock.Milliseconds | undefined;
  /** Whether the process itself has said that it ends, whatever its entry says. */
  isLeaving: boolean;
}

/** The targets that there are, from the platform's list. */
export class TargetRegistry {
  private readonly known = new Map<string, KnownTarget>();

  private readonly goneEmitter = new lifetime.Emitter<Target>();

  /** Fires when a target has gone, or a process under its id has been replaced. */
  public readonly onGone = this.goneEmitter.event;

  private caughtUp = false;

  public constructor(private readonly options: TargetRegistryOptions) {}

  /** Whether the list has been read. */
  public get isComplete(): boolean {
    return this.caughtUp;
  }

  /** Replaces all that is known. */
  public reset(targets: readonly Target[]): void {
    const listed = new Set(targets.map(({ id }) => id));
    [...this.known.keys()].filter((id) => !listed.has(id)).forEach((id) => this.remove(id));
    targets.forEach((target) => this.update(target));
    this.caughtUp = true;
  }

  /** Takes in a target's entry. */
  public update(target: Target): void {
    const entry = this.known.get(target.id);
    const former = entry?.target;
    const isSame = former !== undefined && isSameProcess(former, target);
    if (former !== undefined && !isSame) this.goneEmitter.fire(former);
    const isLeaving = isSame && entry!.isLeaving;
    this.known.set(target.id, { target, missingUntil: undefined, isLeaving });
    if (isSame && former.isDraining === target.isDraining) return;
    this.options.logger.info('A target was listed.', {
      target: target.id,
      kind: target.isDraining ? 'draining' : 'ready',
      reason: `${target.pool} at ${target.address}`,
    });
  }

  /**
   * Takes in that a process has said that it ends. Its entry may say so later or never, and a
   * process that ends does not change its mind, so this holds until another one has its id.
   */
  public noteLeaving(target: Target): void {
    const entry = this.known.get(target.id);
    if (entry === undefined || entry.isLeaving || !isSameProcess(entry.target, target)) return;
    entry.isLeaving = true;
    const reason = 'said so in an answer';
    this.options.logger.info('A target leaves.', { target: target.id, reason });
  }

  /** The entry of a target has gone. During an outage that says little, so it waits. */
  public remove(id: string): void {
    const entry = this.known.get(id);
    if (entry === undefined) return;
    const { clock: time, lapseDoubtUntil, logger } = this.options;
    const now = time.now();
    if (lapseDoubtUntil() > now && !entry.target.isDraining) {
      entry.missingUntil ??= lapseDoubtUntil() + RETURN_MS;
      logger.warn('The entry of a target has gone during an outage.', { target: id });
      return;
    }
    this.known.delete(id);
    logger.info('A target has gone.', { target: id });
    this.goneEmitter.fire(entry.target);
  }

  /** The targets of a pool that may get new work. */
  public usable(pool: string): readonly Target[] {
    const now = this.options.clock.now();
    return [...this.known.values()]
      .filter((entry) => entry.target.pool === pool && mayGetWork(entry, now))
      .map(({ target }) => target);
  }

  /** Whether a target may still get new work. */
  public isUsable(target: Target): boolean {
    const entry = this.known.get(target.id);
    if (entry === undefined || !isSameProcess(entry.target, target)) return false;
    return mayGetWork(entry, this.options.clock.now());
  }
}

function mayGetWork(entry: KnownTarget, now: clock.Milliseconds): boolean {
  const { isLeaving, missingUntil, target } = entry;
  if (isLeaving || target.isDraining) return false;
  return missingUntil === undefined || missingUntil > now;
}

function isSameProcess(left: Target, right: Target): boolean {
  return left.address === right.address && left.incarnation === right.incarnation;
}
