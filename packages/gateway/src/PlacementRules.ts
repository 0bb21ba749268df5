import type * as evacuatedDomains from './EvacuatedDomains.js';
import type { Target } from './Types.js';

/** Dependencies of `PlacementRules`. */
export interface PlacementRulesOptions {
  readonly evacuated: Pick<evacuatedDomains.EvacuatedDomains, 'count' | 'has'>;
  /** Regions by failure domain. */
  readonly regions: ReadonlyMap<string, string>;
}

/** Inputs of `PlacementRules.excludesPool`. */
export interface PoolQuery {
  /** All targets of the pool, including those that accept no new work. */
  readonly listed: readonly Target[];
  /** The targets of the pool that accept new work. */
  readonly usable: readonly Target[];
  /** The regions in which the request may run; undefined if it may run in all. */
  readonly homeRegions: ReadonlySet<string> | undefined;
}

/**
 * Decides on which targets a request may run, whatever their load: none in an evacuated failure
 * domain, and only those in the home regions of the request.
 */
export class PlacementRules {
  public constructor(private readonly options: PlacementRulesOptions) {}

  /** Whether any failure domain is evacuated. */
  public get hasEvacuations(): boolean {
    return this.options.evacuated.count > 0;
  }

  /** A target in an unknown failure domain has no region, so it is in no home region. */
  public allows(
    { failureDomain }: Pick<Target, 'failureDomain'>,
    homeRegions: ReadonlySet<string> | undefined,
  ): boolean {
    const { evacuated, regions } = this.options;
    if (evacuated.has(failureDomain)) return false;
    if (homeRegions === undefined) return true;
    const region = regions.get(failureDomain);
    return region !== undefined && homeRegions.has(region);
  }

  /**
   * Whether a request is to be rejected without a wait, because waiting cannot help while the rules
   * are in effect. A request without home regions still waits if a target outside the evacuated
   * failure domains is listed that accepts no work now, because its process may be replaced soon.
   */
  public excludesPool({ homeRegions, listed, usable }: PoolQuery): boolean {
    if (usable.some((target) => this.allows(target, homeRegions))) return false;
    if (homeRegions !== undefined) return true;
    const { evacuated } = this.options;
    return listed.length > 0 && listed.every((target) => evacuated.has(target.failureDomain));
  }
}
