import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

import * as generateText from './generateText.js';
import type { TextMessage } from './generateText.js';
import * as outcomes from './Outcomes.js';
import type { Outcome } from './Types.js';

const { OUTCOMES } = outcomes;

const TOKENS_PATTERN = /(?:^|\s)generate=(\d+)(?:\s|$)/;

/** Why a call's text ended, in the words of the conventional protocol. */
const FINISH_REASONS = { STOP: 'stop', LENGTH: 'length' } as const;

/** What an engine was asked to generate. */
export interface EngineCallRequest {
  readonly callId: string;
  /** Absent when the call belongs to no program; nothing is cached for it then. */
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

/** One model call of an engine: its chunks, and who reads them. */
export class EngineCall {
  /** Conventional chat-completions chunks, as JSON text. */
  public readonly chunks: string[] = [];

  public readonly promptTokens: number;

  /** How many tokens will be generated. */
  public readonly plannedTokens: number;

  private cachedTokens = 0;

  private readonly digest: string;

  private readonly progress = new lifetime.Emitter<void>();

  private readonly cancellation = new AbortController();

  private readonly finishReason: string;

  private generated = 0;

  private endedWith: Outcome | undefined;

  private attachments = 0;

  private detachment: AbortController | undefined;

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
    const natural = naturalTokens(messages) ?? maximumTokens ?? defaultTokens;
    const isCut = maximumTokens !== undefined && maximumTokens <= natural;
    this.plannedTokens = isCut ? maximumTokens : natural;
    this.finishReason = isCut ? FINISH_REASONS.LENGTH : FINISH_REASONS.STOP;
  }

  /** How the call has ended; undefined while it waits or runs. */
  public get outcome(): Outcome | undefined {
    return this.endedWith;
  }

  /** Aborts when the call is cancelled. */
  public get cancelled(): AbortSignal {
    return this.cancellation.signal;
  }

  /** How many tokens have been generated so far. */
  public get generatedTokens(): number {
    return this.generated;
  }

  /** The text generated so far. */
  public get text(): string {
    const tokens = Array.from({ length: this.generated }, (_, index) =>
      generateText.tokenOf(this.digest, index),
    );
    return tokens.join('');
  }

  /** The usage in the conventional form. */
  public get usage(): Readonly<Record<string, unknown>> {
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: this.generated,
      total_tokens: this.promptTokens + this.generated,
      prompt_tokens_details: { cached_tokens: this.cachedTokens },
    };
  }

  /** The whole answer in the conventional form. */
  public get completion(): Readonly<Record<string, unknown>> {
    return {
      ...this.frame('chat.completion'),
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

  /** Notes how many tokens of the prompt were cached. Returns how many are to be prefilled. */
  public startPrefill(cachedTokens: number): number {
    this.cachedTokens = cachedTokens;
    return this.promptTokens - cachedTokens;
  }

  /** Generates the next token. */
  public generateToken(): void {
    const content = generateText.tokenOf(this.digest, this.generated);
    const role = this.generated === 0 ? { role: 'assistant' } : {};
    this.generated += 1;
    this.addChunk([{ index: 0, delta: { ...role, content }, finish_reason: null }]);
  }

  /** Adds the chunks that follow the text and ends the call. */
  public finish(): void {
    this.addChunk([{ index: 0, delta: {}, finish_reason: this.finishReason }]);
    if (this.request.includesUsage) this.addChunk([], { usage: this.usage });
    this.end(OUTCOMES.FINISHED);
  }

  /** Cancels the call unless it has ended. */
  public cancel(outcome: Outcome = OUTCOMES.CANCELLED): void {
    if (this.endedWith !== undefined) return;
    this.end(outcome);
    this.cancellation.abort();
  }

  /** Resolves at the next chunk, at the end of the call, or when the signal aborts. */
  public async nextProgress(signal: AbortSignal): Promise<void> {
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

  /** Notes that a connection reads the call. */
  public attach(): void {
    this.attachments += 1;
    this.detachment?.abort();
    this.detachment = undefined;
  }

  /** Notes that a connection has gone; with none left the call is cancelled after the window. */
  public detach(windowMs: clock.Milliseconds): void {
    this.attachments -= 1;
    if (this.attachments > 0 || this.endedWith !== undefined) return;
    const detachment = new AbortController();
    this.detachment = detachment;
    const signal = AbortSignal.any([detachment.signal, this.cancelled]);
    this.time
      .sleep(windowMs, signal)
      .then(() => {
        if (!signal.aborted) this.cancel();
      })
      .catch(() => undefined);
  }

  private end(outcome: Outcome): void {
    this.endedWith = outcome;
    this.detachment?.abort();
    this.progress.fire();
  }

  private addChunk(
    choices: readonly unknown[],
    more: Readonly<Record<string, unknown>> = {},
  ): void {
    this.chunks.push(JSON.stringify({ ...this.frame('chat.completion.chunk'), choices, ...more }));
    this.progress.fire();
  }

  private frame(object: string): Readonly<Record<string, unknown>> {
    const { callId, model } = this.request;
    return { id: callId, object, created: 0, model };
  }
}

/** How many tokens the last message asks for by `generate=COUNT`. */
function naturalTokens(messages: readonly TextMessage[]): number | undefined {
  const content = messages.at(-1)?.content;
  const match = typeof content === 'string' ? TOKENS_PATTERN.exec(content) : null;
  return match === null ? undefined : Math.max(1, Number(match[1]));
}
