import type * as configuration from '@limpettack/configuration';
import type { TargetLookup } from './TargetLookup.js';

interface Place {
  readonly target: configuration.Target;
  readonly pool: configuration.Pool;
}

/** Finds targets and pools, with an index that follows the configuration's versions. */
export class ConfigurationLookup implements TargetLookup {
  private indexed: configuration.ConfigurationState | undefined;

  /** Targets that are or were in a pool; calls may still run on those that were removed. */
  private readonly known = new Map<string, Place>();

  private readonly present = new Set<string>();

  public constructor(private readonly view: Pick<configuration.ConfigurationView, 'current'>) {}

  /** @inheritdoc */
  public target(name: string): configuration.Target | undefined {
    this.follow();
    return this.known.get(name)?.target;
  }

  /** @inheritdoc */
  public pool(name: string): configuration.Pool | undefined {
    return this.view.current().pools.get(name);
  }

  /** @inheritdoc */
  public poolOf(target: string): configuration.Pool | undefined {
    this.follow();
    return this.present.has(target) ? this.known.get(target)?.pool : undefined;
  }

  /** @inheritdoc */
  public lastPoolOf(target: string): configuration.Pool | undefined {
    this.follow();
    return this.known.get(target)?.pool;
  }

  private follow(): void {
    const current = this.view.current();
    if (current === this.indexed) return;
    this.indexed = current;
    this.present.clear();
    current.pools.forEach((pool) => {
      pool.targets.forEach((target) => {
        this.present.add(target.name);
        this.known.set(target.name, { target, pool });
      });
    });
  }
}
