import type * as clock from '@limpettack/clock';

/** One step of a program. */
export type ProgramStep =
  | {
      readonly kind: 'turn';
      readonly promptTokens: number;
      readonly generatedTokens: number;
    }
  /** A pause, as when a tool outside of the system runs. */
  | { readonly kind: 'pause'; readonly durationMs: clock.Milliseconds }
  /** A call of a plain service that is safe to repeat. */
  | { readonly kind: 'read' }
  /** A call of a plain service that must not be repeated, with an idempotency key. */
  | { readonly kind: 'order' }
  /** Child programs that run concurrently. */
  | { readonly kind: 'children'; readonly programs: readonly (readonly ProgramStep[])[] };

/** A program that arrives at a fixed time, independent of the state of the system (open loop). */
export interface Arrival {
  /** Unique in the run. */
  readonly id: string;
  /** Arrival time since the start of the run, in milliseconds. */
  readonly atMs: clock.Milliseconds;
  readonly workspace: string;
  /** Name of the program kind in the scenario. */
  readonly kind: string;
  readonly steps: readonly ProgramStep[];
  /** Number of calls after which the budget stops the program; for programs that never end. */
  readonly budgetCalls?: number;
}

/** Final state of a program. */
export type ProgramState = 'completed' | 'stopped-by-budget' | 'refused' | 'failed';

/** Result of a program as observed by its caller. */
export interface ProgramRecord {
  readonly arrival: Arrival;
  readonly state: ProgramState;
  readonly latencyMs: clock.Milliseconds;
  /** Latency of the program on an idle system in which no token is computed twice. */
  readonly idealMs: clock.Milliseconds;
  readonly reason?: string;
}

/** One request as observed by its caller. */
export interface CallRecord {
  readonly workspace: string;
  /** Since the start of the run, in milliseconds. */
  readonly sentAtMs: clock.Milliseconds;
  /** HTTP status; 0 when there was no response. */
  readonly status: number;
  /** Kind of the refusal; undefined when the request was not refused. */
  readonly refusal?: string;
  readonly run?: string;
  readonly retryAfterMs?: number;
  readonly idempotencyKey?: string;
}

/** Token counts of a successful model call. */
export interface PrefillRecord {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Tokens of the earlier turns, which an engine has already computed. */
  readonly historyTokens: number;
}

/** A violation of a guarantee of the system, as observed by its clients. */
export interface Breach {
  readonly promise: 'at-most-once' | 'own-history' | 'true-refusal' | 'whole-answer';
  readonly detail: string;
}

/** All observations of a run. */
export interface RunRecord {
  readonly programs: readonly ProgramRecord[];
  readonly calls: readonly CallRecord[];
  readonly prefills: readonly PrefillRecord[];
  readonly breaches: readonly Breach[];
}

/** The figures of a run. */
export interface RunSummary {
  readonly programs: number;
  readonly states: Readonly<Record<ProgramState, number>>;
  /** Latency of programs in workspaces without a burst, in milliseconds. */
  readonly medianMs: number;
  readonly p95Ms: number;
  /** The workspace with the largest slowdown among those without a burst. */
  readonly worstWorkspace: string;
  /** Mean of latency divided by ideal latency, by workspace. */
  readonly slowdowns: Readonly<Record<string, number>>;
  /** Tokens of earlier turns that were prefilled again because they were not cached. */
  readonly wastedTokens: number;
  readonly prefilledTokens: number;
  /** Number of requests that an ideal token bucket admits. */
  readonly withinRate: number;
  /** How many fewer requests the system admitted than the ideal bucket. */
  readonly refusedWithinRate: number;
  /** Number of refusals by kind. */
  readonly refusals: Readonly<Record<string, number>>;
  /** Ideal slot time of all arrivals divided by the slot time of the engines. */
  readonly offeredLoad: number;
  /** Load average of the host over the last minute, for each core. */
  readonly machineLoad: number;
  /** Distinct reasons of failed programs, limited to the first few. */
  readonly failures: readonly string[];
  readonly breaches: readonly Breach[];
}
