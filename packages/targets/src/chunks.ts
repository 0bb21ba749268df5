import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import type { ModelChunk, TargetResult, TokenUsage } from './Types.js';
import * as failures from './failures.js';
import type * as parsers from './ServerSentEventParser.js';

const TOKENS = zod.number().int().min(0);

const USAGE = zod.object({
  prompt_tokens: TOKENS,
  completion_tokens: TOKENS,
  prompt_tokens_details: zod.object({ cached_tokens: TOKENS.nullish() }).nullish(),
});

const CHUNK = zod.object({
  choices: zod.array(
    zod.object({
      delta: zod.object({ content: zod.string().nullish() }).nullish(),
      finish_reason: zod.string().nullish(),
    }),
  ),
  usage: USAGE.nullish(),
});

/** The data of the event that ends a stream. */
export const END_OF_STREAM = '[DONE]';

/** Parses a chunk of a model's response. An event without an id gets the expected index. */
export function readChunk(
  event: parsers.ServerSentEvent,
  expectedIndex: number,
): TargetResult<ModelChunk> {
  const chunk = CHUNK.safeParse(parseJson(event.data));
  if (!chunk.success) return failures.invalid('A chunk of the answer is malformed.');
  const index = event.id === undefined ? expectedIndex : Number(event.id);
  if (!Number.isSafeInteger(index)) return failures.invalid('A chunk has a malformed id.');
  const [choice] = chunk.data.choices;
  return trueMyth.Result.ok({
    index,
    data: event.data,
    text: choice?.delta?.content ?? '',
    ...(chunk.data.usage ? { usage: readUsage(chunk.data.usage) } : {}),
    ...(choice?.finish_reason ? { finishReason: choice.finish_reason } : {}),
  });
}

/** Parses JSON. Returns undefined if it is malformed. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function readUsage(usage: zod.infer<typeof USAGE>): TokenUsage {
  return {
    promptTokens: usage.prompt_tokens,
    generatedTokens: usage.completion_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
}
