import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';

/** A request that asks to be admitted. */
export interface AdmissionRequest {
  /** Unique; the same id asked again gets the same answer. */
  readonly requestId: string;
  readonly workspace: string;
  /** How long the answer may take, in milliseconds. */
  readonly timeoutMs: clock.Milliseconds;
}

/** Admits requests within each workspace's rate and burst, counted over all VMs together. */
export interface Admission extends lifetime.Disposable {
  /** Faults: `rate-limited` with the time to come back; `home-unavailable`, not run. */
  admit(request: AdmissionRequest): Promise<trueMyth.Result<void, errors.Fault>>;
}

/**
 * What the journal must tell the limits of the claims that this process makes. Limits are safe
 * only when a standby has stopped acknowledging before its claim can be read by anyone.
 */
export interface TakeoverHook {
  /**
   * Called right before each append of a claim for the shard by this process, with no wait in
   * between, while `Journal.ownership` still tells the epoch that the claim supersedes.
   */
  beforeClaim(shard: number): void;
  /** Called when it is certain that a claim announced before is not and will not be in the log. */
  claimAbandoned(shard: number): void;
}

/** The part of the journal that the limits use. */
export type JournalView = Pick<
  journal.Journal<unknown, unknown>,
  | 'shardCount'
  | 'shardOf'
  | 'ownership'
  | 'owned'
  | 'learn'
  | 'isLogAvailable'
  | 'onOwned'
  | 'onLost'
  | 'onOwnershipChange'
>;

/** Rate and burst of a workspace. */
export interface WorkspaceLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Finds a workspace's limit in the configuration in force. */
export type LimitLookup = (workspace: string) => WorkspaceLimit | undefined;

/** What this process decided for a workspace as the owner of its bucket. */
export interface DecisionEvent {
  readonly workspace: string;
  readonly granted: boolean;
}
