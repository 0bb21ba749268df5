import type * as configuration from '@limpettack/configuration';

/** Finds targets and pools in the current configuration. */
export interface TargetLookup {
  /** Returns a target of any pool, or a removed one, which may still run calls or hold memory. */
  target(name: string): configuration.Target | undefined;
  pool(name: string): configuration.Pool | undefined;
  /** Returns the pool that a target belongs to. */
  poolOf(target: string): configuration.Pool | undefined;
  /** Returns the pool that a target belongs or last belonged to. */
  lastPoolOf(target: string): configuration.Pool | undefined;
}
