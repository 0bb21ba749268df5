import type * as clockTypes from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import type * as targets from '@limpettack/targets';
import * as trueMyth from 'true-myth';
import * as runningCalls from './RunningCalls.js';
import type { FaultResult } from './Types.js';

/** Maximum age of the ownership confirmation for the dispatch of a repeatable call. */
const REPEATABLE_FRESHNESS_MS = 1_000;

/**
 * A call that must not be repeated always requires a new confirmation by the standby or the log.
 */
const ALWAYS_CONFIRM_MS = 0;

/** The fencing number of calls that belong to no shard. */
const UNFENCED: targets.FencingNumber = { scope: 'none', number: 0 };

/** Confirms before each dispatch that this process still owns the shard of the call. */
export class ShardAuthority {
  public constructor(
    private readonly shards: Pick<journal.Journal<unknown, unknown>, 'confirmAuthority'>,
  ) {}

  /** Confirms that a repeatable call may be dispatched. Faults: `not-owner`, `log-unavailable`. */
  public confirmRepeatable(shard: number): Promise<FaultResult<targets.FencingNumber>> {
    return this.confirm(shard, REPEATABLE_FRESHNESS_MS);
  }

  /**
   * Confirms that an at-most-once call may be dispatched. Faults: `not-owner`, `log-unavailable`.
   */
  public confirmOnce(shard: number): Promise<FaultResult<targets.FencingNumber>> {
    return this.confirm(shard, ALWAYS_CONFIRM_MS);
  }

  private async confirm(
    shard: number,
    freshnessMs: clockTypes.Milliseconds,
  ): Promise<FaultResult<targets.FencingNumber>> {
    if (shard === runningCalls.NO_SHARD) return trueMyth.Result.ok(UNFENCED);
    const confirmed = await this.shards.confirmAuthority(shard, freshnessMs);
    return confirmed.map(({ epoch }) => ({ scope: fencingScope(shard), number: epoch }));
  }
}

/** The fencing scope of a shard's calls. */
export function fencingScope(shard: number): string {
  return `shard-${shard}`;
}
