import type * as configuration from '@limpettack/configuration';

/** Finds targets and pools in the configuration in force. */
export interface TargetLookup {
  /** A target of any pool, or one that was in a pool before and may still hold something. */
  target(name: string): configuration.Target | undefined;
  pool(name: string): configuration.Pool | undefined;
  /** The pool that a target belongs to. */
  poolOf(target: string): configuration.Pool | undefined;
  /** The pool that a target belongs or last belonged to. */
  lastPoolOf(target: string): configuration.Pool | undefined;
}
