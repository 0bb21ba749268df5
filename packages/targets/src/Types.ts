import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import type * as lifetime from '@limpettack/lifetime';
import type * as scheduling from '@limpettack/scheduling';
import type * as trueMyth from 'true-myth';
import type * as zod from 'zod';
import type * as targetFailures from './TargetFailures.js';

/** The name of a way in which a call of a target fails. */
export type TargetFailureKind =
  (typeof targetFailures.TARGET_FAILURES)[keyof typeof targetFailures.TARGET_FAILURES];

/** Why a call of a target has no result. */
export interface TargetFailure {
  readonly kind: TargetFailureKind;
  readonly message: string;
  /** Status that the target answered; set when the kind is `refused`. */
  readonly status?: number;
}

export type TargetResult<Value> = trueMyth.Result<Value, TargetFailure>;

/** The epoch that a call or order is made under. */
export interface FencingNumber {
  /** What the number belongs to, such as `shard-7`. */
  readonly scope: string;
  readonly number: number;
}

/** One message of a chat. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
  readonly [field: string]: unknown;
}

/** A model call as it goes to an engine. */
export interface ModelCall {
  readonly callId: string;
  /** Empty for a call outside a program, for which the engine keeps nothing. */
  readonly program: string;
  readonly pool: string;
  readonly target: string;
  /** The chat-completions body without `messages`, `stream` and `max_tokens`. */
  readonly parameters: Readonly<Record<string, unknown>>;
  readonly messages: readonly ChatMessage[];
  readonly maximumTokens: number;
  readonly priority: number;
  readonly fencing: FencingNumber;
  /** Continue an answer that is running already, after this many chunks. */
  readonly resumeAfter?: number;
}

/** A piece of a model's answer. */
export interface ModelChunk {
  /** Counts the chunks of the call from 0. */
  readonly index: number;
  /** The conventional chat-completions chunk, as JSON text. */
  readonly data: string;
  /** Generated text of the chunk, empty when it has none. */
  readonly text: string;
  /** Set on the chunk that carries the usage. */
  readonly usage?: TokenUsage;
  readonly finishReason?: string;
}

/** Tokens of a model call. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly generatedTokens: number;
  /** Prompt tokens that the engine had cached. */
  readonly cachedTokens: number;
}

/** A service call as it goes to a target. */
export interface ServiceCall {
  readonly callId: string;
  readonly pool: string;
  readonly target: string;
  readonly method: string;
  /** Path and query below the target's URL. */
  readonly path: string;
  /** Header fields; the caller's key and hop-by-hop fields have been taken out. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly idempotencyKey?: string;
  readonly fencing: FencingNumber;
}

/** A service's whole answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** A call that an engine runs now. */
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

/** Speaks to the targets. A failure never throws. */
export interface TargetClient extends lifetime.Disposable {
  /** Runs a model call. The iteration ends with a failure result or after the last chunk. */
  runModel(call: ModelCall, signal: AbortSignal): AsyncIterable<TargetResult<ModelChunk>>;
  callService(call: ServiceCall, signal: AbortSignal): Promise<TargetResult<ServiceAnswer>>;
  /** Asks the target whether a call with this key ran; nothing when it never saw it. */
  queryOutcome(
    pool: string,
    target: string,
    idempotencyKey: string,
  ): Promise<TargetResult<ServiceAnswer | undefined>>;
  cancel(target: string, callId: string): Promise<TargetResult<void>>;
  /** Calls that the engine runs under a fencing scope. */
  running(target: string, scope: string): Promise<TargetResult<readonly RunningCall[]>>;
  /** Frees what the engine holds for a program. */
  release(target: string, program: string): Promise<TargetResult<void>>;
  /** All that the engine says it holds for programs. */
  holdings(target: string): Promise<TargetResult<readonly EngineHolding[]>>;
}

/** Reads what targets tell of themselves. A failure never throws. */
export interface TargetReader {
  /** Asks a target for a JSON document and checks it, within a time limit. */
  read<Document>(
    target: string,
    path: string,
    schema: zod.ZodType<Document>,
    limitMs?: clock.Milliseconds,
  ): Promise<TargetResult<Document>>;
}

/** How a call on a target ended, for health and adaptive concurrency. */
export interface CallReport {
  readonly target: string;
  readonly failure?: TargetFailureKind;
  /** Status of a refusal: 500 and above count against the target's health. */
  readonly status?: number;
  readonly firstTokenMs?: clock.Milliseconds;
  readonly totalMs: clock.Milliseconds;
  readonly usage?: TokenUsage;
}

/** The targets of the pools in force: health, load, cache hints. */
export interface TargetDirectory extends scheduling.TargetView, lifetime.Disposable {
  find(target: string): configuration.Target | undefined;
  /** Whether a target is in a pool, ready as of a moment ago and not ejected. */
  mayTakeWork(target: string): boolean;
  /** All targets of a pool, healthy or not. */
  ofPool(pool: string): readonly configuration.Target[];
  /** Notes that a call starts; dispose of the result when it ends. */
  begin(call: scheduling.CallDescription, target: string): lifetime.Disposable;
  report(report: CallReport): void;
  /** Fires with the name of a target that did not answer when it was asked for its status. */
  readonly onUnreachable: lifetime.Event<string>;
  /** Notes that a target now holds the prompt of a program of so many tokens. */
  noteCached(target: string, program: string, tokens: number): void;
}
