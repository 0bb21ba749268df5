import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as trueMyth from 'true-myth';

/** A call that waits for a target. */
export interface CallDescription {
  readonly callId: string;
  readonly pool: string;
  readonly workspace: string;
  /** The program, or the call's own id when it belongs to none. */
  readonly program: string;
  /** Estimated tokens of the prompt. */
  readonly promptTokens: number;
  /** Tokens to generate, estimated, or the most that may be. */
  readonly expectedTokens: number;
  /** Service that the program has had so far, in seconds of a target's slot. */
  readonly attainedSeconds: number;
  /** When the call must have finished, on the process's own clock. */
  readonly deadline: clock.Milliseconds;
  /** Targets not to use again, by name. */
  readonly excluded: ReadonlySet<string>;
}

/** A waiting call as a policy sees it. */
export interface WaitingCall extends CallDescription {
  readonly waitingSince: clock.Milliseconds;
  /** Since when the call has left targets with room to others, to wait for a better one. */
  readonly heldBackSince?: clock.Milliseconds;
}

/** A target that may take a call, as a policy sees it. */
export interface TargetCandidate {
  readonly name: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Calls that this process runs on it now. */
  readonly ownInFlight: number;
  /** Calls of other processes on it, estimated from its lagging reports. */
  readonly otherInFlight: number;
  /** How many calls this process may run on it now, from adaptive concurrency. */
  readonly concurrencyLimit: number;
  /** Tokens of the call's prompt that the target's prefix cache holds, estimated. */
  readonly cachedTokens: number;
  /** Smoothed time to prefill one token, in milliseconds. */
  readonly prefillMsPerToken: number;
  /** Smoothed time to generate one token, in milliseconds. */
  readonly decodeMsPerToken: number;
  /** Smoothed tokens that calls generate there, when it is known. */
  readonly typicalTokens?: number;
  /** Smoothed time of a call that its tokens do not account for, such as that of a service. */
  readonly callMs?: clock.Milliseconds;
}

/** Service that workspaces have had lately over the whole fleet, decayed, in slot seconds. */
export interface WorkspaceUsage {
  attainedSeconds(workspace: string): number;
}

/** Picks the waiting call to go next; nothing when none should. Passed in, so it can be swapped. */
export type QueueOrder = (
  waiting: readonly WaitingCall[],
  usage: WorkspaceUsage,
  now: clock.Milliseconds,
) => WaitingCall | undefined;

/**
 * Picks a target for a call. One without room says that the call waits for it; nothing says that
 * the call waits for any. Passed in.
 */
export type TargetChoice = (
  call: WaitingCall,
  candidates: readonly TargetCandidate[],
  ownFailureDomain: string,
  now: clock.Milliseconds,
) => TargetCandidate | undefined;

/** Decides before queueing whether a call is refused: `overloaded` or `deadline-unreachable`. */
export type EarlyRefusal = (
  call: WaitingCall,
  waiting: readonly WaitingCall[],
  candidates: readonly TargetCandidate[],
  now: clock.Milliseconds,
) => errors.Fault | undefined;

/** A policy: the three decisions under one name. */
export interface SchedulingPolicy {
  readonly name: string;
  readonly order: QueueOrder;
  readonly choose: TargetChoice;
  readonly refuse: EarlyRefusal;
}

/** What the scheduler reads of the targets. Implemented by the targets package. */
export interface TargetView {
  /** Targets of a pool that may get new work now, with their state for this call. */
  candidates(call: CallDescription): readonly TargetCandidate[];
  /** Fires with the pool's name when a target may have room or has come or gone. */
  readonly onRoom: lifetime.Event<string>;
}

/** A place on a target. Dispose of it when the call has ended. */
export interface Slot extends lifetime.Disposable {
  readonly target: string;
  /** Priority for the engine; smaller goes first. */
  readonly priority: number;
}

/** Queues calls for pools and gives them targets. */
export interface Scheduler extends lifetime.Disposable {
  /**
   * Waits for a place. Faults, all not run: `overloaded`, `deadline-unreachable`,
   * `target-unavailable`, `deadline-exceeded`.
   */
  acquire(call: CallDescription, signal: AbortSignal): Promise<trueMyth.Result<Slot, errors.Fault>>;
  /** Adds to a workspace's attained service. */
  recordService(workspace: string, seconds: number): void;
  /** Decayed totals of this process, to pass on to peers. */
  ownUsage(): readonly WorkspaceTotal[];
  /** Takes a peer's totals in. */
  learnUsage(peer: string, totals: readonly WorkspaceTotal[]): void;
}

/** A workspace's decayed attained service on one VM. */
export interface WorkspaceTotal {
  readonly workspace: string;
  readonly seconds: number;
}
