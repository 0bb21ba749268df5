import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as membership from '@limpettack/membership';
import * as coldIntervalMs from './coldIntervalMs.js';
import type * as coldTargets from './ColdTargets.js';
import type * as currentTables from './CurrentTables.js';
import type * as requestPacer from './RequestPacer.js';
import type * as targetLimits from './TargetLimits.js';
import type { Target } from './Types.js';

/** Dependencies of `ColdTargetLimiter`. */
export interface ColdTargetLimiterOptions {
  /** The limits that targets name, which apply to cold targets as well. */
  readonly limits: targetLimits.TargetLimiter;
  readonly coldTargets: Pick<coldTargets.ColdTargets, 'coldUntil' | 'isCold' | 'onWarm'>;
  readonly tables: Pick<currentTables.CurrentTables, 'current'>;
  readonly membership: Pick<membership.Membership, 'members' | 'self'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** This VM's share of a target's rate, and what it was computed from. */
interface Share {
  readonly vmNames: readonly string[];
  readonly ratePerSecond: number;
  /** Undefined if this VM may send no requests. */
  readonly intervalMs: clock.Milliseconds | undefined;
}

interface Pace {
  share: Share;
  nextSendAt: clock.Milliseconds;
}

/**
 * Paces requests to cold targets. Each VM has a fixed share of the rate, so no messages pass. Sends
 * that are not used do not accumulate: a burst is what a cold target does not survive.
 */
export class ColdTargetLimiter implements targetLimits.TargetLimiter, lifetime.Disposable {
  private readonly paces = new Map<string, Pace>();

  private readonly warmSubscription: lifetime.Disposable;

  private namesSource: readonly membership.Member[] | undefined;

  private vmNames: readonly string[] = [];

  public constructor(private readonly options: ColdTargetLimiterOptions) {
    this.warmSubscription = options.coldTargets.onWarm((id) => this.paces.delete(id));
  }

  /** @inheritdoc */
  public isLimited(target: Target): boolean {
    return this.options.coldTargets.isCold(target) || this.options.limits.isLimited(target);
  }

  /** The time until which a target has no turn; infinite if it is cold and this VM has no share. */
  public exhaustedUntil(target: Target): clock.Milliseconds {
    return this.earliestSend(target, this.options.limits.exhaustedUntil(target));
  }

  /**
   * Takes a turn of the target's own limit, if it has one, and then of its cold rate. A turn at the
   * end of the cold period is provisional: the period may be extended until then, and the turns of
   * several calls have the same time.
   */
  public async takeTurn(
    target: Target,
    maximumWaitMs: clock.Milliseconds,
  ): Promise<requestPacer.Turn> {
    const { clock: time, limits } = this.options;
    const askedAt = time.now();
    const latest = askedAt + maximumWaitMs;
    // A turn of the limit would be lost if the cold rate has no turn in time.
    const earliest = this.earliestSend(target, askedAt);
    if (earliest > latest) return this.refuse(target);
    if (this.isPacedBeyond(target, earliest)) return provisionalTurn(earliest - askedAt);
    const turn = await limits.takeTurn(target, maximumWaitMs);
    if (!turn.isGranted || !this.options.coldTargets.isCold(target)) return turn;
    const now = time.now();
    const readyAt = now + turn.waitMs;
    const sendAt = this.earliestSend(target, readyAt);
    if (sendAt > Math.max(latest, readyAt)) return this.refuse(target);
    if (this.isPacedBeyond(target, sendAt)) return provisionalTurn(sendAt - now);
    const pace = this.paceOf(target);
    pace.nextSendAt = sendAt + (pace.share.intervalMs ?? 0);
    return { isGranted: true, waitMs: sendAt - now };
  }

  /** @inheritdoc */
  public dispose(): void {
    this.warmSubscription.dispose();
  }

  /**
   * The first time, from `readyAt` on, at which this VM may send, at the latest when the target is
   * warm; infinite if the target is cold and this VM has no share.
   */
  private earliestSend(target: Target, readyAt: clock.Milliseconds): clock.Milliseconds {
    const { coldTargets } = this.options;
    if (!coldTargets.isCold(target)) return readyAt;
    const { nextSendAt, share } = this.paceOf(target);
    return share.intervalMs === undefined
      ? Number.POSITIVE_INFINITY
      : Math.max(readyAt, Math.min(nextSendAt, coldTargets.coldUntil(target)));
  }

  /** Whether a target may be sent to at `sendAt` only because it should be warm by then. */
  private isPacedBeyond(target: Target, sendAt: clock.Milliseconds): boolean {
    return this.options.coldTargets.isCold(target) && this.paceOf(target).nextSendAt > sendAt;
  }

  private refuse(target: Target): requestPacer.Turn {
    const { clock: time, coldTargets, limits } = this.options;
    const pacedUntil = Math.min(this.exhaustedUntil(target), coldTargets.coldUntil(target));
    const until = Math.max(limits.exhaustedUntil(target), pacedUntil);
    return { isGranted: false, waitMs: Math.max(0, until - time.now()) };
  }

  private paceOf(target: Target): Pace {
    const known = this.paces.get(target.id);
    const share = this.shareOf(target, known?.share);
    if (known !== undefined) {
      known.share = share;
      return known;
    }
    const created = { share, nextSendAt: Number.NEGATIVE_INFINITY };
    this.paces.set(target.id, created);
    return created;
  }

  /** Computes the share of a target, unless the VMs and the rate are the same as before. */
  private shareOf(target: Target, known: Share | undefined): Share {
    const { membership: members, tables } = this.options;
    const vmNames = this.countedVms();
    const ratePerSecond = tables.current?.pools.get(target.pool)?.coldStart?.ratePerSecond ?? 0;
    if (known?.vmNames === vmNames && known.ratePerSecond === ratePerSecond) return known;
    const intervalMs = coldIntervalMs.coldIntervalMs({
      vmNames,
      ownName: members.self.name,
      targetId: target.id,
      ratePerSecond,
    });
    if (known === undefined || known.intervalMs !== intervalMs)
      this.options.logger.info("This VM's share of the rate of a cold target was computed.", {
        target: target.id,
        count: vmNames.length,
        reason: `${ratePerSecond}/s for all VMs`,
        ...(intervalMs === undefined ? { kind: 'none' } : { kind: 'paced', spanMs: intervalMs }),
      });
    return { vmNames, ratePerSecond, intervalMs };
  }

  /**
   * Names of the VMs that share the rate: those in the VM list, and those that are known but not
   * listed yet, as while a fleet starts. Unreachable VMs count, because they may send as well.
   */
  private countedVms(): readonly string[] {
    const { membership: members } = this.options;
    const known = members.members();
    if (known === this.namesSource) return this.vmNames;
    this.namesSource = known;
    const names = known
      .filter(({ listed, name, state }) => listed || !isGone(state) || name === members.self.name)
      .map(({ name }) => name);
    if (names.join('\n') !== this.vmNames.join('\n')) this.vmNames = names;
    return this.vmNames;
  }
}

function provisionalTurn(waitMs: clock.Milliseconds): requestPacer.Turn {
  return { isGranted: true, waitMs, isProvisional: true };
}

function isGone(state: membership.MemberState): boolean {
  return state === membership.MEMBER_STATES.GONE;
}
