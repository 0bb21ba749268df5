import type * as clock from '@limpettack/clock';
import * as chooseTarget from './chooseTarget.js';
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
  readonly registry: Pick<targetRegistry.TargetRegistry, 'isUsable' | 'usable'>;
  readonly scores: targetScores.TargetScores;
  readonly limits: targetLimits.TargetLimiter;
  /** Whether a target has just started and is slow. If undefined, no target is cold. */
  readonly isCold?: (target: Target) => boolean;
  readonly clock: clock.Clock;
  readonly ownFailureDomain: string;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
  /** Without it, all weights are 1. */
  readonly weights?: TargetWeights | undefined;
}

/** Selects a target for a call from those that accept new work. */
export class TargetSelector {
  public constructor(private readonly options: TargetSelectorOptions) {}

  /**
   * Returns undefined if the pool has no usable target except the excluded ones and those that have
   * no turn now.
   */
  public select(
    pool: string,
    affinity: string | undefined,
    excluded: ReadonlySet<string>,
    isRepeatable: boolean,
  ): Target | undefined {
    const {
      clock: time,
      isCold,
      limits,
      ownFailureDomain,
      random,
      registry,
      scores,
      weights,
    } = this.options;
    const now = time.now();
    const candidates = registry
      .usable(pool)
      .filter((target) => !excluded.has(target.id) && limits.exhaustedUntil(target) <= now);
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
  public exhausted(pool: string): readonly Target[] {
    const { clock: time, limits, registry } = this.options;
    const now = time.now();
    return registry
      .usable(pool)
      .map((target) => ({ target, until: limits.exhaustedUntil(target) }))
      .filter(({ until }) => until > now)
      .sort((left, right) => left.until - right.until)
      .map(({ target }) => target);
  }

  /** Whether a target still accepts new work. */
  public isUsable(target: Target): boolean {
    return this.options.registry.isUsable(target);
  }
}
