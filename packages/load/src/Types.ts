import type * as clock from '@limpettack/clock';

/** One step of a program. */
export type ProgramStep =
  | {
      readonly kind: 'turn';
      readonly promptTokens: number;
      readonly generatedTokens: number;
    }
  /** A pause in which a tool outside of the system runs. */
  | { readonly kind: 'pause'; readonly durationMs: clock.Milliseconds }
  /** A call of a plain service that may be repeated. */
  | { readonly kind: 'read' }
  /** A call of a plain service that must not be repeated, with an idempotency key. */
  | { readonly kind: 'order' }
  /** Child programs that run beside each other. */
  | { readonly kind: 'children'; readonly programs: readonly (readonly ProgramStep[])[] };

/** A program that arrives at a set time, whatever the state of the system is. */
export interface Arrival {
  /** Unique in the run. */
  readonly id: string;
  readonly atMs: clock.Milliseconds;
  readonly workspace: string;
  /** Name of the program kind in the scenario. */
  readonly kind: string;
  readonly steps: readonly ProgramStep[];
  /** Calls after which the budget stops the program; for loops without end. */
  readonly budgetCalls?: number;
}

/** How a program ended. */
export type ProgramState = 'completed' | 'stopped-by-budget' | 'refused' | 'failed';

/** What came of a program, as its caller saw it. */
export interface ProgramRecord {
  readonly arrival: Arrival;
  readonly state: ProgramState;
  readonly latencyMs: clock.Milliseconds;
  /** Latency that the program would have if nothing else ran and nothing was computed twice. */
  readonly idealMs: clock.Milliseconds;
  readonly reason?: string;
}

/** One request as its caller saw it. */
export interface CallRecord {
  readonly workspace: string;
  readonly sentAtMs: clock.Milliseconds;
  readonly status: number;
  /** Kind of the refusal, when it was one. */
  readonly refusal?: string;
  readonly run?: string;
  readonly retryAfterMs?: number;
  readonly idempotencyKey?: string;
}

/** Tokens of a model call that was answered. */
export interface PrefillRecord {
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Tokens of the earlier turns, which an engine has computed before. */
  readonly historyTokens: number;
}

/** A breach of a promise, as seen from outside. */
export interface Breach {
  readonly promise: 'at-most-once' | 'own-history' | 'true-refusal' | 'whole-answer';
  readonly detail: string;
}

/** All that a run has recorded. */
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
  /** Of programs of workspaces that stay within their rate, in milliseconds. */
  readonly medianMs: number;
  readonly p95Ms: number;
  /** The quiet workspace whose programs took longest against their ideal. */
  readonly worstWorkspace: string;
  /** Mean of latency divided by ideal latency, by workspace. */
  readonly slowdowns: Readonly<Record<string, number>>;
  /** Prefill tokens of earlier turns that were computed again. */
  readonly wastedTokens: number;
  readonly prefilledTokens: number;
  /** Requests that an ideal bucket admits, and how many of as many were refused. */
  readonly withinRate: number;
  readonly refusedWithinRate: number;
  readonly refusals: Readonly<Record<string, number>>;
  /** Ideal slot time of all arrivals over the slot time of the engines. */
  readonly offeredLoad: number;
  /** Processes that wanted a core of the machine over the last minute, for each core. */
  readonly machineLoad: number;
  readonly breaches: readonly Breach[];
}
