import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as foldOutcomes from './FoldOutcomes.js';
import type * as schemas from './schemas.js';

/** A row of the table of routes, which lists the agent programs that callers may reach. */
export type Route = zod.infer<typeof schemas.ROUTE>;

/** A row of the table of pools: a group of targets. */
export type Pool = zod.infer<typeof schemas.POOL>;

/** One target of a pool. */
export type Target = zod.infer<typeof schemas.TARGET>;

/** A workspace with its rate and burst, which apply across all VMs. */
export type Workspace = zod.infer<typeof schemas.WORKSPACE>;

/** A workspace key that has been issued; only its digest is stored. */
export type GivenKey = zod.infer<typeof schemas.GIVEN_KEY>;

/** A change of the configuration by an operator. */
export type ConfigurationChange = zod.infer<typeof schemas.CONFIGURATION_CHANGE>;

/** A record of the configuration stream. */
export type ConfigurationRecord = zod.infer<typeof schemas.CONFIGURATION_RECORD>;

/** An edit record of the configuration stream. */
export type ConfigurationEdit = zod.infer<typeof schemas.CONFIGURATION_EDIT>;

/** A snapshot record of the configuration stream. */
export type ConfigurationSnapshot = zod.infer<typeof schemas.CONFIGURATION_SNAPSHOT>;

/** The tables as operators write them in a file. */
export type Tables = zod.infer<typeof schemas.TABLES>;

/** A record with its offset in the stream. */
export interface StreamRecord {
  readonly offset: number;
  readonly record: ConfigurationRecord;
}

/** The outcome of applying a record. */
export type FoldOutcome =
  (typeof foldOutcomes.FOLD_OUTCOMES)[keyof typeof foldOutcomes.FOLD_OUTCOMES];

/** The result of applying a record. */
export interface FoldResult {
  readonly outcome: FoldOutcome;
  /** One sentence for each failed check; set when the outcome is `invalid`. */
  readonly problems?: readonly string[];
}

/** The whole configuration at one version. */
export interface ConfigurationState {
  /** Increases by one with each edit that takes effect; 0 before the first. */
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  /** Valid keys, by digest. */
  readonly keys: ReadonlyMap<string, GivenKey>;
  /** Digests of keys that have been withdrawn. */
  readonly withdrawn: ReadonlySet<string>;
}

/** An edit in the stream and its outcome. */
export interface HistoryEntry {
  readonly offset: number;
  /** Age of the record when it was read, by the log's clock, in milliseconds. */
  readonly ageMs: clock.Milliseconds;
  readonly edit: ConfigurationEdit;
  readonly outcome: FoldOutcome;
  readonly problems: readonly string[];
  /** The current version after the edit. */
  readonly version: number;
}

/** An edit that an operator requests. */
export interface PublishRequest {
  /** Unique id. A request that is sent repeatedly with the same id takes effect once. */
  readonly id: string;
  /** The version that the change is based on. */
  readonly basedOn: number;
  readonly author: string;
  readonly change: ConfigurationChange;
}

/** The outcome of a requested edit. */
export type PublishOutcome =
  | { readonly kind: 'applied'; readonly version: number }
  | {
      readonly kind: 'conflict';
      readonly version: number;
      /** Edits that took effect first, oldest first, as far as the log still has them. */
      readonly earlier: readonly HistoryEntry[];
    }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] };

/** Why the outcome of a requested edit is unknown. */
export interface PublishFailure {
  readonly message: string;
  /** Whether the edit may still take effect; a retry with the same id determines it. */
  readonly maybeApplied: boolean;
}

/** The caller that a key identifies, or a caller without a key. */
export interface Caller {
  /** Absent for a caller without a key. */
  readonly workspace?: string;
  /** Absent for a caller without a key. */
  readonly keyDigest?: string;
}

/** The current configuration on this VM. Its version never decreases. */
export interface ConfigurationView {
  current(): ConfigurationState;
  /** False until the VM has read the tail of the stream or a peer's copy. */
  isReady(): boolean;
  /** Fires after each new version takes effect. */
  readonly onChange: lifetime.Event<ConfigurationState>;
  /** Fires with the digest of each key that is withdrawn. */
  readonly onKeyWithdrawn: lifetime.Event<string>;
  /** Identifies a caller by key. Faults: `key-unknown`, `key-withdrawn`. */
  identify(key: string | undefined): trueMyth.Result<Caller, errors.Fault>;
  /** Returns the named route if the caller may use it. Faults: `route-unknown`, `key-required`. */
  routeFor(caller: Caller, name: string): trueMyth.Result<Route, errors.Fault>;
}
