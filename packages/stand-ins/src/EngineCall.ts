import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

import * as generateText from './generateText.js';
import type { TextMessage } from './generateText.js';
import * as outcomes from './Outcomes.js';
import type { Outcome } from './Types.js';

const { OUTCOMES } = outcomes;

const REQUESTED_TOKENS_PATTERN = /(?:^|\s)generate=(\d+)(?:\s|$)/;

/** `finish_reason` values of the chat-completions protocol. */
const FINISH_REASONS = { STOP: 'stop', LENGTH: 'length' } as const;

/** Parameters of a model call. */
export interface EngineCallRequest {
  readonly callId: string;
  /** Undefined when the call belongs to no program; its prefix is then not cached. */
  readonly program: string | undefined;
  readonly scope: string | undefined;
  readonly fencingNumber: number | undefined;
  readonly priority: number;
  readonly model: string;
  readonly messages: readonly TextMessage[];
  readonly maximumTokens: number | undefined;
  readonly defaultTokens: number;
  readonly includesUsage: boolean;
}

/** One model call of an engine: its generated chunks and the number of connections that read it. */
export class EngineCall {
  /** Chunks of the chat-completions protocol, as JSON text. */
  public readonly chunks: string[] = [];

  public readonly promptTokens: number;

  /** Number of tokens that the call generates when it is not cancelled. */
  public readonly plannedTokens: number;

  private cachedTokens = 0;

  private readonly digest: string;

  private readonly progress = new lifetime.Emitter<void>();

  private readonly cancellation = new AbortController();

  private readonly finishReason: string;

  private generatedCount = 0;

  private finalOutcome: Outcome | undefined;

  private connectionCount = 0;

  private pendingCancellation: AbortController | undefined;

  public constructor(
    private readonly time: clock.Clock,
    public readonly request: EngineCallRequest,
  ) {
    const { messages, maximumTokens, defaultTokens } = request;
    this.digest = generateText.digestOf(messages);
    this.promptTokens = messages.reduce(
      (sum, message) => sum + generateText.countTokens(message),
      0,
    );
    const requestedTokens = parseRequestedTokens(messages) ?? maximumTokens ?? defaultTokens;
    const isTruncated = maximumTokens !== undefined && maximumTokens <= requestedTokens;
    this.plannedTokens = isTruncated ? maximumTokens : requestedTokens;
    this.finishReason = isTruncated ? FINISH_REASONS.LENGTH : FINISH_REASONS.STOP;
  }

  /** Outcome of the call; undefined while it waits or runs. */
  public get outcome(): Outcome | undefined {
    return this.finalOutcome;
  }

  /** Aborts when the call is cancelled. */
  public get cancelled(): AbortSignal {
    return this.cancellation.signal;
  }

  /** Number of tokens generated so far. */
  public get generatedTokens(): number {
    return this.generatedCount;
  }

  /** The text generated so far. */
  public get text(): string {
    const tokens = Array.from({ length: this.generatedCount }, (_, index) =>
      generateText.tokenOf(this.digest, index),
    );
    return tokens.join('');
  }

  /** Token usage in the form of the chat-completions protocol. */
  public get usage(): Readonly<Record<string, unknown>> {
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: this.generatedCount,
      total_tokens: this.promptTokens + this.generatedCount,
      prompt_tokens_details: { cached_tokens: this.cachedTokens },
    };
  }

  /** The complete response in the form of the chat-completions protocol. */
  public get completion(): Readonly<Record<string, unknown>> {
    return {
      ...this.envelope('chat.completion'),
      choices: [
        {
          index: 0,
          message: { role: 'assistant', content: this.text },
          finish_reason: this.finishReason,
        },
      ],
      usage: this.usage,
    };
  }

  /** Records the number of cached prompt tokens. Returns the number of tokens left to prefill. */
  public startPrefill(cachedTokens: number): number {
    this.cachedTokens = cachedTokens;
    return this.promptTokens - cachedTokens;
  }

  /** Generates the next token. */
  public generateToken(): void {
    const content = generateText.tokenOf(this.digest, this.generatedCount);
    const role = this.generatedCount === 0 ? { role: 'assistant' } : {};
    this.generatedCount += 1;
    this.addChunk([{ index: 0, delta: { ...role, content }, finish_reason: null }]);
  }

  /** Adds the chunks that follow the text (finish reason and usage) and ends the call. */
  public finish(): void {
    this.addChunk([{ index: 0, delta: {}, finish_reason: this.finishReason }]);
    if (this.request.includesUsage) this.addChunk([], { usage: this.usage });
    this.end(OUTCOMES.FINISHED);
  }

  /** Ends the call with the outcome. Does nothing when the call has already ended. */
  public cancel(outcome: Outcome = OUTCOMES.CANCELLED): void {
    if (this.finalOutcome !== undefined) return;
    this.end(outcome);
    this.cancellation.abort();
  }

  /** Resolves at the next chunk, at the end of the call, or when the signal aborts. */
  public async waitForProgress(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    await new Promise<void>((resolve) => {
      const subscription = this.progress.event(finish);
      function finish(): void {
        Promise.resolve(subscription.dispose()).catch(() => undefined);
        signal.removeEventListener('abort', finish);
        resolve();
      }
      signal.addEventListener('abort', finish, { once: true });
    });
  }

  /** Registers a connection that reads the call, and stops a pending cancellation. */
  public attach(): void {
    this.connectionCount += 1;
    this.pendingCancellation?.abort();
    this.pendingCancellation = undefined;
  }

  /** Unregisters a connection. When none is left, cancels the call after `windowMs`. */
  public detach(windowMs: clock.Milliseconds): void {
    this.connectionCount -= 1;
    if (this.connectionCount > 0 || this.finalOutcome !== undefined) return;
    const pendingCancellation = new AbortController();
    this.pendingCancellation = pendingCancellation;
    const signal = AbortSignal.any([pendingCancellation.signal, this.cancelled]);
    this.time
      .sleep(windowMs, signal)
      .then(() => {
        if (!signal.aborted) this.cancel();
      })
      .catch(() => undefined);
  }

  private end(outcome: Outcome): void {
    this.finalOutcome = outcome;
    this.pendingCancellation?.abort();
    this.progress.fire();
  }

  private addChunk(
    choices: readonly unknown[],
    extraFields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.chunks.push(
      JSON.stringify({ ...this.envelope('chat.completion.chunk'), choices, ...extraFields }),
    );
    this.progress.fire();
  }

  private envelope(object: string): Readonly<Record<string, unknown>> {
    const { callId, model } = this.request;
    return { id: callId, object, created: 0, model };
  }
}

/** Number of tokens that the last message requests with `generate=COUNT`; undefined without it. */
function parseRequestedTokens(messages: readonly TextMessage[]): number | undefined {
  const content = messages.at(-1)?.content;
  const match = typeof content === 'string' ? REQUESTED_TOKENS_PATTERN.exec(content) : null;
  return match === null ? undefined : Math.max(1, Number(match[1]));
}
