import type * as clock from '@limpettack/clock';
import * as chooseTarget from './chooseTarget.js';
import type * as placementRules from './PlacementRules.js';
import type * as targetLimits from './TargetLimits.js';
import type * as targetRegistry from './TargetRegistry.js';
import type * as targetScores from './TargetScores.js';
import type { Target } from './Types.js';

/** Weights of targets by their loads. */
export interface TargetWeights {
  /** Weights by id; 1 for targets that are missing. */
  current(): ReadonlyMap<string, number>;
  /** Counts a placement that the weights have changed. */
  countMoved(): void;
}

/** Dependencies of the selector. */
export interface TargetSelectorOptions {
  readonly registry: Pick<targetRegistry.TargetRegistry, 'isUsable' | 'listed' | 'usable'>;
  readonly scores: targetScores.TargetScores;
  readonly limits: targetLimits.TargetLimiter;
  /** Whether a target has just started and is slow. If undefined, no target is cold. */
  readonly isCold?: (target: Target) => boolean;
  readonly rules: placementRules.PlacementRules;
  readonly clock: clock.Clock;
  readonly ownFailureDomain: string;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Without it, all weights are 1. */
  readonly weights?: TargetWeights | undefined;
}

/** What a target is selected for. */
export interface TargetSelection {
  readonly pool: string;
  /** Calls with the same affinity prefer the same target; undefined if there is no preference. */
  readonly affinity: string | undefined;
  /** Ids of targets that are not selected. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the call may be sent to another target if this one fails. */
  readonly isRepeatable: boolean;
  /** The regions in which the call may run; undefined if it may run in all. */
  readonly homeRegions: ReadonlySet<string> | undefined;
}

/** Selects a target for a call from those that accept new work. */
export class TargetSelector {
  public constructor(private readonly options: TargetSelectorOptions) {}

  /**
   * Returns undefined if the pool has no usable target except the excluded ones, those that the
   * rules do not allow and those that have no turn now.
   */
  public select(selection: TargetSelection): Target | undefined {
    const { affinity, excluded, homeRegions, isRepeatable, pool } = selection;
    const { clock: time, isCold, limits, ownFailureDomain, random, scores, weights } = this.options;
    const now = time.now();
    const candidates = this.allowed(pool, homeRegions).filter(
      (target) => !excluded.has(target.id) && limits.exhaustedUntil(target) <= now,
    );
    return chooseTarget.chooseTarget({
      candidates,
      scores: scores.compare(candidates.map(({ id }) => id)),
      affinity,
      isRepeatable,
      ownFailureDomain,
      ...(isCold === undefined ? {} : { isCold }),
      random,
      weights: weights?.current(),
      onMoved: () => weights?.countMoved(),
    });
  }

  /** The usable targets that have no turn now, the one with the earliest turn first. */
  public exhausted(pool: string, homeRegions: ReadonlySet<string> | undefined): readonly Target[] {
    const { clock: time, limits } = this.options;
    const now = time.now();
    return this.allowed(pool, homeRegions)
      .map((target) => ({ target, until: limits.exhaustedUntil(target) }))
      .filter(({ until }) => until > now)
      .sort((left, right) => left.until - right.until)
      .map(({ target }) => target);
  }

  /** Whether a target still accepts new work and the rules still allow it. */
  public isUsable(target: Target, homeRegions: ReadonlySet<string> | undefined): boolean {
    const { registry, rules } = this.options;
    return registry.isUsable(target) && rules.allows(target, homeRegions);
  }

  /** Whether the rules exclude the targets of a pool, so that a call need not wait for one. */
  public excludesPool(pool: string, homeRegions: ReadonlySet<string> | undefined): boolean {
    const { registry, rules } = this.options;
    if (homeRegions === undefined && !rules.hasEvacuations) return false;
    const usable = registry.usable(pool);
    return rules.excludesPool({ listed: registry.listed(pool), usable, homeRegions });
  }

  private allowed(pool: string, homeRegions: ReadonlySet<string> | undefined): readonly Target[] {
    const { registry, rules } = this.options;
    return registry.usable(pool).filter((target) => rules.allows(target, homeRegions));
  }
}
