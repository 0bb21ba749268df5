import * as chooseTarget from './chooseTarget.js';
import type * as targetRegistry from './TargetRegistry.js';
import type * as targetScores from './TargetScores.js';
import type { Target } from './Types.js';

/** Selects a target for a call from those that accept new work. */
export class TargetSelector {
  public constructor(
    private readonly registry: targetRegistry.TargetRegistry,
    private readonly scores: targetScores.TargetScores,
    private readonly ownFailureDomain: string,
    private readonly random: () => number,
  ) {}

  /** Returns undefined if the pool has no usable target except the excluded ones. */
  public select(
    pool: string,
    affinity: string | undefined,
    excluded: ReadonlySet<string>,
    isRepeatable: boolean,
  ): Target | undefined {
    const candidates = this.registry.usable(pool).filter(({ id }) => !excluded.has(id));
    return chooseTarget.chooseTarget({
      candidates,
      scores: this.scores.compare(candidates.map(({ id }) => id)),
      affinity,
      isRepeatable,
      ownFailureDomain: this.ownFailureDomain,
      random: this.random,
    });
  }
}
