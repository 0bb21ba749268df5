import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';

/** A request for admission. */
export interface AdmissionRequest {
  /** Unique. A repeated request with the same id gets the same result. */
  readonly requestId: string;
  readonly workspace: string;
  /** Maximum time until the result, in milliseconds. */
  readonly timeoutMs: clock.Milliseconds;
}

/** Admits requests within each workspace's rate and burst, which apply across all VMs. */
export interface AdmissionControl extends lifetime.Disposable {
  /** Faults: `rate-limited` with the time after which to retry; `home-unavailable`, not run. */
  admit(request: AdmissionRequest): Promise<trueMyth.Result<void, errors.Fault>>;
}

/**
 * The journal calls this hook around the ownership claims of this process. The limits are safe
 * only if a standby stops acknowledging before any process can read its claim.
 */
export interface TakeoverHook {
  /**
   * Called synchronously before this process appends a claim for the shard, while
   * `Journal.ownership` still returns the epoch that the claim supersedes.
   */
  beforeClaim(shard: number): void;
  /** Called when it is certain that the announced claim is not, and never will be, in the log. */
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

/** Rate (requests per second) and burst (requests) of a workspace. */
export interface WorkspaceLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Returns a workspace's limit in the current configuration, or undefined if there is none. */
export type LimitLookup = (workspace: string) => WorkspaceLimit | undefined;

/** A decision that this process made as the owner of a workspace's bucket. */
export interface DecisionEvent {
  readonly workspace: string;
  readonly granted: boolean;
}
