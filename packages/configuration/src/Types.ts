import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as foldOutcomes from './FoldOutcomes.js';
import type * as schemas from './schemas.js';

/** A row of the table of routes: which agent programs callers may reach. */
export type Route = zod.infer<typeof schemas.ROUTE>;

/** A row of the table of pools: which targets stand ready. */
export type Pool = zod.infer<typeof schemas.POOL>;

/** One target of a pool. */
export type Target = zod.infer<typeof schemas.TARGET>;

/** A workspace with its rate and burst over all VMs. */
export type Workspace = zod.infer<typeof schemas.WORKSPACE>;

/** A workspace key that has been given; only its digest is kept. */
export type GivenKey = zod.infer<typeof schemas.GIVEN_KEY>;

/** One operator's change of the configuration. */
export type ConfigurationChange = zod.infer<typeof schemas.CONFIGURATION_CHANGE>;

/** A record of the configuration stream. */
export type ConfigurationRecord = zod.infer<typeof schemas.CONFIGURATION_RECORD>;

/** An edit as it stands in the configuration stream. */
export type ConfigurationEdit = zod.infer<typeof schemas.CONFIGURATION_EDIT>;

/** A snapshot as it stands in the configuration stream. */
export type ConfigurationSnapshot = zod.infer<typeof schemas.CONFIGURATION_SNAPSHOT>;

/** The tables as operators write them in a file. */
export type Tables = zod.infer<typeof schemas.TABLES>;

/** A record with its offset in the stream. */
export interface StreamRecord {
  readonly offset: number;
  readonly record: ConfigurationRecord;
}

/** The name of what became of a record. */
export type FoldOutcome =
  (typeof foldOutcomes.FOLD_OUTCOMES)[keyof typeof foldOutcomes.FOLD_OUTCOMES];

/** What became of a record. */
export interface FoldResult {
  readonly outcome: FoldOutcome;
  /** A sentence for each check that failed; set when the outcome is `invalid`. */
  readonly problems?: readonly string[];
}

/** The whole configuration at one version. */
export interface ConfigurationState {
  /** Grows by one with each edit that takes effect; 0 before the first. */
  readonly version: number;
  readonly routes: ReadonlyMap<string, Route>;
  readonly pools: ReadonlyMap<string, Pool>;
  readonly workspaces: ReadonlyMap<string, Workspace>;
  /** Keys in force, by digest. */
  readonly keys: ReadonlyMap<string, GivenKey>;
  /** Digests of keys that have been withdrawn. */
  readonly withdrawn: ReadonlySet<string>;
}

/** An edit in the stream and what became of it. */
export interface HistoryEntry {
  readonly offset: number;
  /** Age when it was read, by the log's own clock, in milliseconds. */
  readonly ageMs: clock.Milliseconds;
  readonly edit: ConfigurationEdit;
  readonly outcome: FoldOutcome;
  readonly problems: readonly string[];
  /** The version in force after the edit. */
  readonly version: number;
}

/** An edit that an operator asks for. */
export interface PublishRequest {
  /** Unique. The same request with the same id takes effect once, however often it is sent. */
  readonly id: string;
  /** The version that the operator saw. */
  readonly basedOn: number;
  readonly author: string;
  readonly change: ConfigurationChange;
}

/** What became of an edit that was asked for. */
export type PublishOutcome =
  | { readonly kind: 'applied'; readonly version: number }
  | {
      readonly kind: 'conflict';
      readonly version: number;
      /** Edits that came first, the oldest first, as far as the log still has them. */
      readonly earlier: readonly HistoryEntry[];
    }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] };

/** Why nothing is known of an edit that was asked for. */
export interface PublishFailure {
  readonly message: string;
  /** Whether the edit may still take effect; asking again with the same id tells. */
  readonly maybeApplied: boolean;
}

/** What a key or its absence stands for. */
export interface Caller {
  /** Absent for a caller without a key. */
  readonly workspace?: string;
  /** Absent for a caller without a key. */
  readonly keyDigest?: string;
}

/** The configuration in force on this VM. It never goes back to an earlier version. */
export interface ConfigurationView {
  current(): ConfigurationState;
  /** False until the VM has read the tail of the stream or a peer's copy. */
  isReady(): boolean;
  /** Fires after each version that comes into force. */
  readonly onChange: lifetime.Event<ConfigurationState>;
  /** Fires with the digest of each key that is withdrawn. */
  readonly onKeyWithdrawn: lifetime.Event<string>;
  /** Tells who shows a key; a fault when the key is unknown or withdrawn. */
  identify(key: string | undefined): trueMyth.Result<Caller, errors.Fault>;
  /** The route that a caller may reach, or `route-unknown` or `key-required`. */
  routeFor(caller: Caller, name: string): trueMyth.Result<Route, errors.Fault>;
}
