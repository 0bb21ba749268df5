import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as coldUntil from './coldUntil.js';
import type * as currentTables from './CurrentTables.js';
import type { ListedTarget, Target } from './Types.js';

/** Maximum number of targets that are remembered after they have left the list. */
const MAXIMUM_DEPARTED = 1_024;

/** Maximum number of failure domains whose revocation is remembered. */
const MAXIMUM_DOMAINS = 256;

const NEVER = Number.NEGATIVE_INFINITY;

/** Dependencies of `ColdTargets`. */
export interface ColdTargetsOptions {
  readonly tables: Pick<currentTables.CurrentTables, 'current' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

interface Entry {
  target: Target;
  statedUntil: clock.Milliseconds;
  startedAt: clock.Milliseconds;
  isListed: boolean;
  /** Whether the latest entry was malformed, so that a series of them is logged once. */
  isMalformed: boolean;
  /** Whether the last log line reported the target as cold. */
  isReportedCold: boolean;
  timer: clock.Timer | undefined;
}

/**
 * Keeps until when targets are cold: after the start of their process, and after the evacuation of
 * their failure domain was revoked. While the log is unavailable, cold periods end by this VM's own
 * clock.
 */
export class ColdTargets implements lifetime.Disposable {
  private readonly entries = new Map<string, Entry>();

  private readonly revocations = new Map<string, clock.Milliseconds>();

  private readonly warmEmitter = new lifetime.Emitter<string>();

  /** Fires with the id of a target whose cold period has ended, or that has been forgotten. */
  public readonly onWarm = this.warmEmitter.event;

  private readonly tablesSubscription: lifetime.Disposable;

  private hasListing = false;

  public constructor(private readonly options: ColdTargetsOptions) {
    this.tablesSubscription = options.tables.onChange(() =>
      this.entries.forEach((entry) => this.report(entry)),
    );
  }

  /** The number of listed targets that are cold. */
  public get count(): number {
    return [...this.entries.values()].filter(
      ({ isListed, target }) => isListed && this.isCold(target),
    ).length;
  }

  /**
   * Applies a complete listing. The targets of the first one were started before this VM could see
   * it, so only their entries tell whether they are cold.
   */
  public reset(listed: readonly ListedTarget[]): void {
    const ids = new Set(listed.map(({ target }) => target.id));
    [...this.entries.keys()].filter((id) => !ids.has(id)).forEach((id) => this.remove(id));
    listed.forEach((entry) => this.apply(entry, this.hasListing));
    this.hasListing = true;
  }

  /** Applies the latest entry of a target. */
  public update(listed: ListedTarget): void {
    this.apply(listed, true);
  }

  /**
   * Records that a target has left the list. Its process is remembered, because it may return to the
   * list after an outage of the log, and it may be used meanwhile.
   */
  public remove(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    entry.isListed = false;
    // The end of the map holds the targets that left last.
    this.entries.delete(id);
    this.entries.set(id, entry);
    const departed = [...this.entries.values()].filter(({ isListed }) => !isListed);
    departed
      .slice(0, Math.max(0, departed.length - MAXIMUM_DEPARTED))
      .forEach(({ target }) => this.forget(target.id));
  }

  /** Records that the evacuation of a failure domain was revoked, so that its targets are cold. */
  public markDomain(failureDomain: string, now: clock.Milliseconds): void {
    this.revocations.delete(failureDomain);
    this.revocations.set(failureDomain, now);
    const [oldest] = this.revocations.keys();
    if (this.revocations.size > MAXIMUM_DOMAINS) this.revocations.delete(oldest!);
    [...this.entries.values()]
      .filter(({ target }) => target.failureDomain === failureDomain)
      .forEach((entry) => this.report(entry));
  }

  /** The end of a target's cold period; in the past if the target is warm. */
  public coldUntil(target: Target): clock.Milliseconds {
    const coldStart = this.options.tables.current?.pools.get(target.pool)?.coldStart;
    const { startedAt = NEVER, statedUntil = NEVER } = this.entries.get(target.id) ?? {};
    const revokedAt = this.revocations.get(target.failureDomain) ?? NEVER;
    return coldUntil.coldUntil({ statedUntil, startedAt, revokedAt }, coldStart);
  }

  public isCold(target: Target): boolean {
    return this.coldUntil(target) > this.options.clock.now();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.tablesSubscription.dispose();
    this.entries.forEach(({ timer }) => timer?.cancel());
    this.warmEmitter.dispose();
  }

  private apply({ coldLeftMs, target }: ListedTarget, isNewProcessCold: boolean): void {
    const now = this.options.clock.now();
    const known = this.entries.get(target.id);
    const isSame =
      known?.target.incarnation === target.incarnation && known.target.address === target.address;
    const entry: Entry = known ?? {
      target,
      statedUntil: NEVER,
      startedAt: NEVER,
      isListed: true,
      isMalformed: false,
      isReportedCold: false,
      timer: undefined,
    };
    const isUnstated = coldLeftMs.isErr || coldLeftMs.value === undefined;
    if (!isSame) entry.startedAt = isUnstated && isNewProcessCold ? now : NEVER;
    // After a malformed entry, the last valid one of the process remains in effect.
    if (coldLeftMs.isOk) entry.statedUntil = now + (coldLeftMs.value ?? NEVER);
    else if (!isSame) entry.statedUntil = NEVER;
    entry.target = target;
    entry.isListed = true;
    this.entries.set(target.id, entry);
    this.reportMalformed(entry, coldLeftMs.isErr ? coldLeftMs.error : undefined);
    this.report(entry);
  }

  private reportMalformed(entry: Entry, reason: string | undefined): void {
    const { logger, tables } = this.options;
    const { id, pool } = entry.target;
    const isNew = reason !== undefined && !entry.isMalformed;
    entry.isMalformed = reason !== undefined;
    if (!isNew || tables.current?.pools.get(pool)?.coldStart === undefined) return;
    logger.warn('The cold time in the entry of a target is malformed.', { target: id, reason });
  }

  /** Logs when a target becomes cold or warm, and arranges to be called at the end. */
  private report(entry: Entry): void {
    const { clock: time, logger } = this.options;
    const { id, pool } = entry.target;
    const leftMs = this.coldUntil(entry.target) - time.now();
    const isCold = leftMs > 0;
    entry.timer?.cancel();
    entry.timer = isCold ? time.startTimer(leftMs, () => this.report(entry)) : undefined;
    if (isCold === entry.isReportedCold) return;
    entry.isReportedCold = isCold;
    if (isCold) {
      const spanMs = Math.round(leftMs);
      logger.info('A target has become cold.', { target: id, kind: 'cold', reason: pool, spanMs });
    } else {
      logger.info('A target has become warm.', { target: id, kind: 'warm', reason: pool });
      this.warmEmitter.fire(id);
    }
  }

  private forget(id: string): void {
    this.entries.get(id)?.timer?.cancel();
    this.entries.delete(id);
    this.warmEmitter.fire(id);
  }
}
