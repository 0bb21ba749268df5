import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import type * as lifetime from '@limpettack/lifetime';
import type * as scheduling from '@limpettack/scheduling';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as targetFailures from './TargetFailures.js';

/** One of the kinds in `TARGET_FAILURES`. */
export type TargetFailureKind =
  (typeof targetFailures.TARGET_FAILURES)[keyof typeof targetFailures.TARGET_FAILURES];

/** Why a call to a target failed. */
export interface TargetFailure {
  readonly kind: TargetFailureKind;
  readonly message: string;
  /** The HTTP status of the response; set if the kind is `refused`. */
  readonly status?: number;
}

export type TargetResult<Value> = trueMyth.Result<Value, TargetFailure>;

/** The epoch under which a call or control request is made. */
export interface FencingNumber {
  /** The resource that the number belongs to, such as `shard-7`. */
  readonly scope: string;
  readonly number: number;
}

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
  readonly [field: string]: unknown;
}

/** A model call in the form sent to an engine. */
export interface ModelCall {
  readonly callId: string;
  /** Empty for a call outside a program, for which the engine retains no memory. */
  readonly program: string;
  readonly pool: string;
  readonly target: string;
  /** The chat-completions body without `messages`, `stream` and `max_tokens`. */
  readonly parameters: Readonly<Record<string, unknown>>;
  readonly messages: readonly ChatMessage[];
  readonly maximumTokens: number;
  readonly priority: number;
  readonly fencing: FencingNumber;
  /** If set, the call resumes a running response after this number of chunks. */
  readonly resumeAfter?: number;
}

/** A chunk of a model's response. */
export interface ModelChunk {
  /** Counts the chunks of the call from 0. */
  readonly index: number;
  /** The conventional chat-completions chunk, as JSON text. */
  readonly data: string;
  /** Generated text of the chunk; empty if it has none. */
  readonly text: string;
  /** Set on the chunk that reports the usage. */
  readonly usage?: TokenUsage;
  readonly finishReason?: string;
}

/** Token counts of a model call. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly generatedTokens: number;
  /** Prompt tokens that the engine had cached. */
  readonly cachedTokens: number;
}

/** A service call in the form sent to a target. */
export interface ServiceCall {
  readonly callId: string;
  readonly pool: string;
  readonly target: string;
  readonly method: string;
  /** Path and query below the target's URL. */
  readonly path: string;
  /** Header fields, without the caller's key and hop-by-hop fields. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  readonly fencing: FencingNumber;
}

/** The complete response of a service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A call that an engine is running. */
export interface RunningCall {
  readonly callId: string;
  readonly program: string;
  readonly fencing: FencingNumber;
}

/** A prefix or session that an engine holds for a program. */
export interface EngineHolding {
  readonly program: string;
  readonly tokens: number;
}

/** Makes calls to the targets. Failures are returned, never thrown. */
export interface TargetClient extends lifetime.Disposable {
  /** Runs a model call. The iteration ends after the last chunk or with one failure. */
  runModel(call: ModelCall, signal: AbortSignal): AsyncIterable<TargetResult<ModelChunk>>;
  callService(call: ServiceCall, signal: AbortSignal): Promise<TargetResult<ServiceResponse>>;
  /** Queries the outcome of a call by its key; undefined if the target never received the call. */
  queryOutcome(
    pool: string,
    target: string,
    idempotencyKey: string,
  ): Promise<TargetResult<ServiceResponse | undefined>>;
  cancel(target: string, callId: string): Promise<TargetResult<void>>;
  /** Returns the calls that the engine runs under a fencing scope. */
  running(target: string, scope: string): Promise<TargetResult<readonly RunningCall[]>>;
  /** Releases the memory that the engine holds for a program. */
  release(target: string, program: string): Promise<TargetResult<void>>;
  /** Returns the memory that the engine reports to hold for programs. */
  holdings(target: string): Promise<TargetResult<readonly EngineHolding[]>>;
}

/** Reads documents that targets publish, such as status and load. Failures are never thrown. */
export interface TargetReader {
  /** Reads a JSON document from a target within a time limit and validates it. */
  read<Document>(
    target: string,
    path: string,
    schema: zod.ZodType<Document>,
    limitMs?: clock.Milliseconds,
  ): Promise<TargetResult<Document>>;
}

/** The outcome of a call on a target, for health and adaptive concurrency. */
export interface CallReport {
  readonly target: string;
  readonly failure?: TargetFailureKind;
  /** HTTP status of a refusal. Statuses of 500 and above lower the target's health. */
  readonly status?: number;
  readonly firstTokenMs?: clock.Milliseconds;
  readonly totalMs: clock.Milliseconds;
  readonly usage?: TokenUsage;
}

/** The targets of the configured pools, with their health, load and cache hints. */
export interface TargetDirectory extends scheduling.TargetView, lifetime.Disposable {
  find(target: string): configuration.Target | undefined;
  /** Whether a target is in a pool, has recently reported ready and is not ejected. */
  mayTakeWork(target: string): boolean;
  /** Returns all targets of a pool, healthy or not. */
  targetsOfPool(pool: string): readonly configuration.Target[];
  /** Notes the start of a call. Dispose of the result when the call ends. */
  begin(call: scheduling.CallDescription, target: string): lifetime.Disposable;
  report(report: CallReport): void;
  /** Fires with the name of a target that did not respond to a status request. */
  readonly onUnreachable: lifetime.Event<string>;
  /** Notes that a target has cached the prompt of a program, with its number of tokens. */
  noteCached(target: string, program: string, tokens: number): void;
}
