import * as zod from 'zod';
import type { ChatMessage } from './Types.js';

const TOOL_CALL_DELTA = zod.looseObject({
  index: zod.int().optional(),
  id: zod.string().optional(),
  type: zod.string().optional(),
  function: zod
    .looseObject({ name: zod.string().optional(), arguments: zod.string().optional() })
    .optional(),
});

const CHOICE = zod.looseObject({
  index: zod.int().default(0),
  delta: zod
    .looseObject({
      role: zod.string().optional(),
      content: zod.string().nullish(),
      tool_calls: zod.array(TOOL_CALL_DELTA).nullish(),
    })
    .optional(),
  finish_reason: zod.string().nullish(),
});

const CHUNK = zod.looseObject({
  id: zod.string().optional(),
  created: zod.number().optional(),
  model: zod.string().optional(),
  choices: zod.array(CHOICE).default([]),
  usage: zod.unknown().optional(),
});

type ToolCallDelta = zod.infer<typeof TOOL_CALL_DELTA>;

interface AssembledToolCall {
  id: string;
  type: string;
  function: { name: string; arguments: string };
}

interface AssembledChoice {
  index: number;
  content: string;
  toolCalls: AssembledToolCall[];
  finishReason: string;
}

/** A complete model response in the common chat-completions format. */
export interface ChatCompletion {
  readonly id: string;
  readonly object: 'chat.completion';
  readonly created: number;
  readonly model: string;
  readonly choices: readonly Record<string, unknown>[];
  readonly usage?: unknown;
}

/** Assembles a complete response from streamed chunks; malformed chunks are skipped. */
export function assembleCompletion(chunks: readonly string[]): ChatCompletion {
  const parsed = chunks.flatMap((text) => parseChunk(text));
  const first = parsed[0];
  const usage = parsed.findLast((chunk) => chunk.usage)?.usage;
  return {
    id: first?.id ?? '',
    object: 'chat.completion',
    created: first?.created ?? 0,
    model: first?.model ?? '',
    choices: assembleChoices(parsed).map((choice) => ({
      index: choice.index,
      message: messageOf(choice),
      finish_reason: choice.finishReason,
    })),
    ...(usage === undefined ? {} : { usage }),
  };
}

/** The message that a response adds to the history. */
export function assistantMessage(chunks: readonly string[]): ChatMessage {
  const choice = assembleChoices(chunks.flatMap((text) => parseChunk(text)))[0];
  return choice === undefined ? { role: 'assistant', content: '' } : messageOf(choice);
}

function parseChunk(text: string): zod.infer<typeof CHUNK>[] {
  try {
    const checked = CHUNK.safeParse(JSON.parse(text));
    return checked.success ? [checked.data] : [];
  } catch {
    return [];
  }
}

function assembleChoices(chunks: readonly zod.infer<typeof CHUNK>[]): AssembledChoice[] {
  const choices = new Map<number, AssembledChoice>();
  chunks
    .flatMap((chunk) => chunk.choices)
    .forEach((part) => {
      const choice = choices.get(part.index) ?? emptyChoice(part.index);
      choices.set(part.index, choice);
      choice.content += part.delta?.content ?? '';
      choice.finishReason = part.finish_reason ?? choice.finishReason;
      part.delta?.tool_calls?.forEach((delta) => mergeToolCall(choice.toolCalls, delta));
    });
  return [...choices.values()].sort((left, right) => left.index - right.index);
}

function emptyChoice(index: number): AssembledChoice {
  return { index, content: '', toolCalls: [], finishReason: 'stop' };
}

function mergeToolCall(calls: AssembledToolCall[], delta: ToolCallDelta): void {
  const index = delta.index ?? calls.length;
  const call = calls[index] ?? { id: '', type: 'function', function: { name: '', arguments: '' } };
  calls.splice(index, 1, {
    id: delta.id ?? call.id,
    type: delta.type ?? call.type,
    function: {
      name: call.function.name + (delta.function?.name ?? ''),
      arguments: call.function.arguments + (delta.function?.arguments ?? ''),
    },
  });
}

function messageOf(choice: AssembledChoice): ChatMessage {
  const { content, toolCalls } = choice;
  return {
    role: 'assistant',
    content,
    ...(toolCalls.length > 0 ? { tool_calls: toolCalls } : {}),
  };
}
