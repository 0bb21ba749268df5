import type * as clock from '@limpettack/clock';
import type * as callContext from './CallContext.js';
import type * as targetLimits from './TargetLimits.js';
import type * as targetSelector from './TargetSelector.js';
import type { Target } from './Types.js';

/** Number of exhausted targets that a call asks for a later turn. */
const MAXIMUM_LATER_TURNS = 3;

/**
 * A turn is not used if the call wakes up later than this after its time. A process that was paused
 * would otherwise send all requests with turns that have passed at once.
 */
const MAXIMUM_DELAY_MS = 100;

/** Dependencies of `TargetTurns`. */
export interface TargetTurnsOptions {
  readonly selector: targetSelector.TargetSelector;
  readonly limits: targetLimits.TargetLimiter;
  readonly clock: clock.Clock;
}

/** Continues a call when its next target has been chosen. */
export interface TargetTurnsHandler {
  /** Returns whether the call still needs a target. */
  readonly isWaiting: () => boolean;
  readonly onTarget: (target: Target) => void;
  /** Called if there is no target now. */
  readonly onNone: () => void;
  /** Called if all targets are exhausted and none has a turn in time. */
  readonly onNoTurn: (waitMs: clock.Milliseconds) => void;
}

/**
 * Chooses the targets of one call. A target with a limit is chosen only with a turn; without one,
 * the next target is chosen. A target without a limit is chosen synchronously.
 */
export class TargetTurns {
  /** Ids of the targets tried since the last delay for full targets. */
  public readonly tried = new Set<string>();

  private isTaking = false;

  public constructor(
    private readonly options: TargetTurnsOptions,
    private readonly context: callContext.CallContext,
    private readonly isRepeatable: boolean,
    private readonly handler: TargetTurnsHandler,
  ) {}

  /** Whether a turn is being taken, so that the call continues without another choice. */
  public get isPending(): boolean {
    return this.isTaking;
  }

  /** Whether the rules exclude all targets, so that the call need not wait for one. */
  public get isExcluded(): boolean {
    return this.options.selector.excludesPool(this.context.pool, this.context.homeRegions);
  }

  /** Chooses the next target, unless that is in progress. */
  public choose(): void {
    if (this.isTaking) return;
    const { affinity, homeRegions, pool } = this.context;
    const { limits, selector } = this.options;
    const target = selector.select({
      pool,
      affinity,
      excluded: this.tried,
      isRepeatable: this.isRepeatable,
      homeRegions,
    });
    if (target === undefined) this.handler.onNone();
    else if (limits.isLimited(target)) this.takeTurn(target);
    else this.handler.onTarget(target);
  }

  /**
   * Waits for the first turn of an exhausted target, at most until `latest`. Returns false if other
   * targets have been tried, which may have room before that, or if no target is exhausted.
   */
  public waitForTurn(latest: clock.Milliseconds): boolean {
    if (this.tried.size > 0) return false;
    const { homeRegions, pool } = this.context;
    const exhausted = this.options.selector.exhausted(pool, homeRegions);
    if (exhausted.length === 0) return false;
    this.takeLaterTurn(exhausted.slice(0, MAXIMUM_LATER_TURNS), latest);
    return true;
  }

  private async takeTurn(target: Target): Promise<void> {
    this.isTaking = true;
    const { isGranted } = await this.options.limits.takeTurn(target, 0);
    this.isTaking = false;
    if (!this.handler.isWaiting()) return;
    if (isGranted) this.use(target);
    else this.choose();
  }

  private async takeLaterTurn(
    exhausted: readonly Target[],
    latest: clock.Milliseconds,
  ): Promise<void> {
    const { clock: time, limits } = this.options;
    this.isTaking = true;
    let shortestWaitMs = Number.POSITIVE_INFINITY;
    let chosen: Target | undefined;
    let mustChooseAgain = false;
    for (const target of exhausted) {
      const maximumWaitMs = Math.max(0, latest - time.now());
      const { isGranted, isProvisional, waitMs } = await limits.takeTurn(target, maximumWaitMs);
      shortestWaitMs = Math.min(shortestWaitMs, waitMs);
      if (isGranted) {
        const turnAt = time.now() + waitMs;
        if (waitMs > 0) await time.sleep(waitMs, this.context.call.signal);
        mustChooseAgain = isProvisional === true || time.now() - turnAt > MAXIMUM_DELAY_MS;
        chosen = target;
        break;
      }
      if (!this.handler.isWaiting()) break;
    }
    this.isTaking = false;
    if (!this.handler.isWaiting()) return;
    if (chosen === undefined) this.handler.onNoTurn(shortestWaitMs);
    else if (mustChooseAgain) this.choose();
    else this.use(chosen);
  }

  /** Uses a turn that was granted. Its target may have left or been evacuated in the meantime. */
  private use(target: Target): void {
    const { homeRegions } = this.context;
    if (this.options.selector.isUsable(target, homeRegions)) this.handler.onTarget(target);
    else this.choose();
  }
}
