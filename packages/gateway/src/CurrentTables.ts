import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as routeMatcher from './RouteMatcher.js';
import type { Route, Tables } from './Types.js';

/** The current tables. Their version never decreases while the process runs. */
export class CurrentTables {
  private tables: Tables | undefined;

  private matcher = new routeMatcher.RouteMatcher([]);

  private readonly emitter = new lifetime.Emitter<Tables>();

  /** Fires with each new version. */
  public readonly onChange = this.emitter.event;

  /** Opens with the first version. */
  public readonly known = new lifetime.Latch();

  public constructor(private readonly logger: logging.Logger) {}

  public get current(): Tables | undefined {
    return this.tables;
  }

  /** Replaces the current tables unless their version is the same or newer. */
  public offer(tables: Tables): void {
    const former = this.tables?.version;
    if (former !== undefined && tables.version <= former) return;
    this.tables = tables;
    this.matcher = new routeMatcher.RouteMatcher(tables.routes);
    this.logger.info('New tables are in effect.', {
      version: tables.version,
      count: tables.routes.length,
      reason: former === undefined ? 'first version' : `after version ${former}`,
    });
    this.known.open();
    this.emitter.fire(tables);
  }

  public match(host: string, path: string): Route | undefined {
    return this.matcher.match(host, path);
  }
}
