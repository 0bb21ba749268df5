import type * as clockTypes from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as programs from '@limpettack/programs';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import * as callerFields from './callerFields.js';
import type { CallDependencies } from './CallDependencies.js';
import * as readBody from './readBody.js';
import * as respond from './respond.js';
import type { CallerExchange, FaultResult } from './Types.js';

const { ITEM_KINDS } = programs;

const MAXIMUM_TOKENS_LIMIT = 1_000_000;
const MAXIMUM_MESSAGE_COUNT = 10_000;

/** The content of a message as text. A list of content parts is converted to its JSON text. */
const CONTENT = zod.union([
  zod.string(),
  zod.null().transform(() => ''),
  zod.array(zod.looseObject({ type: zod.string() })).transform((parts) => JSON.stringify(parts)),
]);

const CHAT_REQUEST = zod.looseObject({
  /** The name of the route. */
  model: zod.string().min(1).max(200),
  messages: zod
    .array(zod.looseObject({ role: zod.string().max(50), content: CONTENT.default('') }))
    .min(1)
    .max(MAXIMUM_MESSAGE_COUNT),
  stream: zod.boolean().default(false),
  max_tokens: zod.int().min(1).max(MAXIMUM_TOKENS_LIMIT).optional(),
  max_completion_tokens: zod.int().min(1).max(MAXIMUM_TOKENS_LIMIT).optional(),
});

type ChatRequest = zod.infer<typeof CHAT_REQUEST>;

/** The part of a call's response that has been received from its home so far. */
interface ResponseProgress {
  readonly chunks: string[];
  turn: number;
  durability: string;
  lastTokenAt: clockTypes.Milliseconds | undefined;
}

/** Handles `POST /v1/chat/completions`: model calls in the conventional chat format. */
export class ChatHandler {
  public constructor(private readonly options: CallDependencies) {}

  /** Handles the request and sends a streamed or a complete response. */
  public async handle(exchange: CallerExchange): Promise<errors.Fault | undefined> {
    const startedAt = this.options.clock.now();
    const body = await readBody.readBody(exchange.request, this.options.limits.maximumBodyBytes);
    if (body.isErr) return body.error;
    const parsed = readBody.parseJson(body.value, CHAT_REQUEST);
    if (parsed.isErr) return parsed.error;
    const chatRequest = parsed.value;
    const prepared = await this.prepare(exchange, chatRequest, body.value);
    if (prepared.isErr) return prepared.error;
    const { request, shardKey } = prepared.value;
    const { metrics, clock } = this.options;
    const fault = chatRequest.stream
      ? await this.stream(exchange, request, shardKey, startedAt)
      : await this.respondComplete(exchange, request, shardKey, startedAt);
    const outcome = fault === undefined ? 'finished' : 'failed';
    const workspace = request.workspace ?? '';
    metrics.observeCall(request.route, workspace, outcome, clock.now() - startedAt);
    return fault;
  }

  private async prepare(
    exchange: CallerExchange,
    chatRequest: ChatRequest,
    body: Buffer,
  ): Promise<FaultResult<{ request: programs.CallRequest; shardKey: string | undefined }>> {
    const callHeaders = callerFields.readCallHeaders(exchange.request);
    if (callHeaders.isErr) return trueMyth.Result.err(callHeaders.error);
    const admitted = await this.options.gate.admitCall(
      exchange,
      chatRequest.model,
      configuration.CALL_KINDS.MODEL,
      body,
    );
    if (admitted.isErr) return trueMyth.Result.err(admitted.error);
    const route = admitted.value;
    const { program, turn, deadlineMs } = callHeaders.value;
    const maximumTokens = chatRequest.max_completion_tokens ?? chatRequest.max_tokens;
    const request: programs.CallRequest = {
      requestId: exchange.requestId,
      workspace: exchange.caller.workspace,
      route: route.name,
      program,
      turn,
      remainingMs: deadlineMs ?? route.deadlineMs,
      resumeAfter: 0,
      call: {
        kind: configuration.CALL_KINDS.MODEL,
        messages: chatRequest.messages,
        maximumTokens,
        parameters: parametersOf(chatRequest),
      },
    };
    const shardKey = program === undefined ? undefined : programs.rootOf(program);
    return trueMyth.Result.ok({ request, shardKey });
  }

  private async stream(
    exchange: CallerExchange,
    request: programs.CallRequest,
    shardKey: string | undefined,
    startedAt: clockTypes.Milliseconds,
  ): Promise<errors.Fault | undefined> {
    const { response } = exchange;
    const progress = createResponseProgress();
    for await (const item of this.options.homes.call(request, shardKey, exchange.abortSignal)) {
      if (item.kind === ITEM_KINDS.FAULT) {
        const { fault } = item;
        if (!response.headersSent) return fault;
        const text = JSON.stringify({
          error: {
            ...respond.faultBody(fault, exchange.requestId),
            type: fault.kind,
            code: fault.kind,
          },
        });
        response.end(`data: ${text}\n\n`);
        this.options.metrics.countRefusal(fault.kind);
        return undefined;
      }
      if (item.kind === ITEM_KINDS.CHUNK) {
        this.observeChunk(request.route, progress, startedAt);
        const event = `id: ${progress.turn}:${item.index}\ndata: ${item.data}\n\n`;
        if (!(await this.write(exchange, event))) return undefined;
      }
      recordItem(item, progress);
    }
    const turnComment = `: limpettack turn=${progress.turn} durability=${progress.durability}\n\n`;
    if (await this.write(exchange, `${turnComment}data: [DONE]\n\n`)) response.end();
    return undefined;
  }

  private async respondComplete(
    exchange: CallerExchange,
    request: programs.CallRequest,
    shardKey: string | undefined,
    startedAt: clockTypes.Milliseconds,
  ): Promise<errors.Fault | undefined> {
    const progress = createResponseProgress();
    for await (const item of this.options.homes.call(request, shardKey, exchange.abortSignal)) {
      if (item.kind === ITEM_KINDS.FAULT) return item.fault;
      if (item.kind === ITEM_KINDS.CHUNK) {
        this.observeChunk(request.route, progress, startedAt);
        progress.chunks.push(item.data);
      }
      recordItem(item, progress);
    }
    const { response } = exchange;
    response.setHeader('limpettack-turn', progress.turn);
    response.setHeader('limpettack-durability', progress.durability);
    const completion = programs.assembleCompletion(progress.chunks);
    respond.respondJson(response, 200, completion);
    return undefined;
  }

  private write(exchange: CallerExchange, text: string): Promise<boolean> {
    const { response } = exchange;
    if (!response.headersSent) {
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        'x-accel-buffering': 'no',
      });
    }
    return respond.writeWithBackpressure(response, text, exchange.abortSignal);
  }

  private observeChunk(
    route: string,
    progress: ResponseProgress,
    startedAt: clockTypes.Milliseconds,
  ): void {
    const now = this.options.clock.now();
    const { metrics } = this.options;
    if (progress.lastTokenAt === undefined) metrics.observeFirstToken(route, now - startedAt);
    else metrics.observeBetweenTokens(route, now - progress.lastTokenAt);
    progress.lastTokenAt = now;
  }
}

function createResponseProgress(): ResponseProgress {
  return { chunks: [], turn: 0, durability: '', lastTokenAt: undefined };
}

function recordItem(item: programs.CallItem, progress: ResponseProgress): void {
  if (item.kind === ITEM_KINDS.STARTED) progress.turn = item.turn;
  if (item.kind === ITEM_KINDS.FINISHED) {
    progress.turn = item.turn;
    progress.durability = item.durability;
  }
}

/** The fields of the request that are passed to the engine unchanged. */
function parametersOf(chatRequest: ChatRequest): Record<string, unknown> {
  const handledFields = new Set([
    'messages',
    'stream',
    'stream_options',
    'max_tokens',
    'max_completion_tokens',
  ]);
  return Object.fromEntries(
    Object.entries(chatRequest).filter(([name]) => !handledFields.has(name)),
  );
}
