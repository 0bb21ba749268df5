import type * as configuration from '@limpettack/configuration';
import type { TargetLookup } from './TargetLookup.js';

interface PooledTarget {
  readonly target: configuration.Target;
  readonly pool: configuration.Pool;
}

/** Finds targets and pools by an index that is rebuilt when the configuration changes. */
export class ConfigurationLookup implements TargetLookup {
  private indexedState: configuration.ConfigurationState | undefined;

  /** Targets that are or were in a pool. Calls may still run on removed targets. */
  private readonly lastKnown = new Map<string, PooledTarget>();

  private readonly configuredNames = new Set<string>();

  public constructor(private readonly view: Pick<configuration.ConfigurationView, 'current'>) {}

  /** @inheritdoc */
  public target(name: string): configuration.Target | undefined {
    this.refresh();
    return this.lastKnown.get(name)?.target;
  }

  /** @inheritdoc */
  public pool(name: string): configuration.Pool | undefined {
    return this.view.current().pools.get(name);
  }

  /** @inheritdoc */
  public poolOf(target: string): configuration.Pool | undefined {
    this.refresh();
    return this.configuredNames.has(target) ? this.lastKnown.get(target)?.pool : undefined;
  }

  /** @inheritdoc */
  public lastPoolOf(target: string): configuration.Pool | undefined {
    this.refresh();
    return this.lastKnown.get(target)?.pool;
  }

  private refresh(): void {
    const current = this.view.current();
    if (current === this.indexedState) return;
    this.indexedState = current;
    this.configuredNames.clear();
    current.pools.forEach((pool) => {
      pool.targets.forEach((target) => {
        this.configuredNames.add(target.name);
        this.lastKnown.set(target.name, { target, pool });
      });
    });
  }
}
