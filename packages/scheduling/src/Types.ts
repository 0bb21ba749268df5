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
  /** Estimated number of tokens of the prompt. */
  readonly promptTokens: number;
  /** Tokens to generate: an estimate, or the maximum that the call allows. */
  readonly expectedTokens: number;
  /** Attained service of the program: seconds that its calls have occupied slots of targets. */
  readonly attainedSeconds: number;
  /** Time by which the call must have finished, on the process's own clock. */
  readonly deadline: clock.Milliseconds;
  /** Names of targets that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
}

/** A waiting call, as passed to a policy. */
export interface WaitingCall extends CallDescription {
  readonly waitingSince: clock.Milliseconds;
  /**
   * Time at which the call started to wait for a better target although other targets had capacity.
   */
  readonly deferredSince?: clock.Milliseconds;
}

/** A target that may be chosen for a call, as passed to a policy. */
export interface TargetCandidate {
  readonly name: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Calls of this process that run on the target. */
  readonly ownInFlight: number;
  /** Calls of other processes on the target, estimated from its delayed reports. */
  readonly otherInFlight: number;
  /** Maximum number of concurrent calls of this process, from adaptive concurrency control. */
  readonly concurrencyLimit: number;
  /** Estimated number of tokens of the call's prompt that the target's prefix cache holds. */
  readonly cachedTokens: number;
  /** Smoothed time to prefill one token, in milliseconds. */
  readonly prefillMsPerToken: number;
  /** Smoothed time to generate one token, in milliseconds. */
  readonly decodeMsPerToken: number;
  /** Smoothed number of tokens that calls generate on the target, if known. */
  readonly typicalTokens?: number;
  /** Smoothed duration of calls that report no token usage, such as service calls. */
  readonly overheadMs?: clock.Milliseconds;
}

/** Attained service of workspaces in the whole fleet, in slot seconds. It decays with time. */
export interface WorkspaceUsage {
  attainedSeconds(workspace: string): number;
}

/** Selects the waiting call to serve next; undefined if none should be served. */
export type QueueOrder = (
  waiting: readonly WaitingCall[],
  usage: WorkspaceUsage,
  now: clock.Milliseconds,
) => WaitingCall | undefined;

/**
 * Selects a target for a call. If the target has no capacity, the call waits for that target. If
 * the result is undefined, the call waits for any target.
 */
export type TargetChoice = (
  call: WaitingCall,
  candidates: readonly TargetCandidate[],
  ownFailureDomain: string,
  now: clock.Milliseconds,
) => TargetCandidate | undefined;

/** Decides before queueing whether to refuse a call: `overloaded` or `deadline-unreachable`. */
export type EarlyRefusal = (
  call: WaitingCall,
  waiting: readonly WaitingCall[],
  candidates: readonly TargetCandidate[],
  now: clock.Milliseconds,
) => errors.Fault | undefined;

/** A scheduling policy: three replaceable decisions under one name. */
export interface SchedulingPolicy {
  readonly name: string;
  readonly order: QueueOrder;
  readonly choose: TargetChoice;
  readonly refuse: EarlyRefusal;
}

/** The state of the targets that the scheduler reads. Implemented by the targets package. */
export interface TargetView {
  /** Targets of the call's pool that accept new work, with their state for this call. */
  candidates(call: CallDescription): readonly TargetCandidate[];
  /** Fires with the name of the pool when a target may have capacity or was added or removed. */
  readonly onCapacity: lifetime.Event<string>;
}

/** A slot on a target. Dispose of it when the call has ended. */
export interface Slot extends lifetime.Disposable {
  readonly target: string;
  /** Priority for the engine; a smaller number is a higher priority. */
  readonly priority: number;
}

/** Queues calls for pools and assigns them to targets. */
export interface Scheduler extends lifetime.Disposable {
  /**
   * Waits for a slot. Faults, all of which mean that the call did not run: `overloaded`,
   * `deadline-unreachable`, `target-unavailable`, `deadline-exceeded`, `shutting-down`.
   */
  acquire(call: CallDescription, signal: AbortSignal): Promise<trueMyth.Result<Slot, errors.Fault>>;
  /** Adds to the attained service of a workspace on this process, in slot seconds. */
  recordService(workspace: string, seconds: number): void;
  /** The decayed attained service of workspaces on this process, to be sent to peers. */
  ownUsage(): readonly WorkspaceTotal[];
  /** Replaces the attained service of workspaces that a peer last reported. */
  updatePeerUsage(peer: string, totals: readonly WorkspaceTotal[]): void;
}

/** A workspace's decayed attained service on one VM. */
export interface WorkspaceTotal {
  readonly workspace: string;
  readonly seconds: number;
}
