import type * as clockTypes from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as programs from '@limpettack/programs';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import * as callerFields from './callerFields.js';
import type { CallCollaborators } from './CallCollaborators.js';
import * as readBody from './readBody.js';
import * as respond from './respond.js';
import type { CallerExchange, Outcome } from './Types.js';

const { ITEM_KINDS } = programs;

const LARGEST_MAXIMUM_TOKENS = 1_000_000;
const LARGEST_MESSAGE_COUNT = 10_000;

/** Parts of a message's content that are text; other parts are passed on as they are. */
const CONTENT = zod.union([
  zod.string(),
  zod.null().transform(() => ''),
  zod.array(zod.looseObject({ type: zod.string() })).transform((parts) => JSON.stringify(parts)),
]);

const CHAT_REQUEST = zod.looseObject({
  /** Names the route. */
  model: zod.string().min(1).max(200),
  messages: zod
    .array(zod.looseObject({ role: zod.string().max(50), content: CONTENT.default('') }))
    .min(1)
    .max(LARGEST_MESSAGE_COUNT),
  stream: zod.boolean().default(false),
  max_tokens: zod.int().min(1).max(LARGEST_MAXIMUM_TOKENS).optional(),
  max_completion_tokens: zod.int().min(1).max(LARGEST_MAXIMUM_TOKENS).optional(),
});

type ChatRequest = zod.infer<typeof CHAT_REQUEST>;

/** What the caller has been sent so far. */
interface Delivery {
  readonly chunks: string[];
  turn: number;
  durability: string;
  lastTokenAt: clockTypes.Milliseconds | undefined;
}

/** Answers `POST /v1/chat/completions`, the conventional model call. */
export class ChatHandler {
  public constructor(private readonly options: CallCollaborators) {}

  /** Answers the request, streamed or whole. */
  public async handle(exchange: CallerExchange): Promise<errors.Fault | undefined> {
    const startedAt = this.options.clock.now();
    const body = await readBody.readBody(exchange.request, this.options.limits.maximumBodyBytes);
    if (body.isErr) return body.error;
    const parsed = readBody.parseJson(body.value, CHAT_REQUEST);
    if (parsed.isErr) return parsed.error;
    const chat = parsed.value;
    const prepared = await this.prepare(exchange, chat, body.value);
    if (prepared.isErr) return prepared.error;
    const { request, shardKey } = prepared.value;
    const { metrics: counts, clock } = this.options;
    const fault = chat.stream
      ? await this.stream(exchange, request, shardKey, startedAt)
      : await this.answerWhole(exchange, request, shardKey, startedAt);
    const outcome = fault === undefined ? 'finished' : 'failed';
    const workspace = request.workspace ?? '';
    counts.observeCall(request.route, workspace, outcome, clock.now() - startedAt);
    return fault;
  }

  private async prepare(
    exchange: CallerExchange,
    chat: ChatRequest,
    body: Buffer,
  ): Promise<Outcome<{ request: programs.CallRequest; shardKey: string | undefined }>> {
    const placement = callerFields.readPlacement(exchange.request);
    if (placement.isErr) return trueMyth.Result.err(placement.error);
    const passed = await this.options.gate.pass(
      exchange,
      chat.model,
      configuration.CALL_KINDS.MODEL,
      body,
    );
    if (passed.isErr) return trueMyth.Result.err(passed.error);
    const route = passed.value;
    const { program, turn, deadlineMs } = placement.value;
    const maximumTokens = chat.max_completion_tokens ?? chat.max_tokens;
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
        messages: chat.messages,
        maximumTokens,
        parameters: parametersOf(chat),
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
    const delivery = createDelivery();
    for await (const item of this.options.homes.call(request, shardKey, exchange.gone)) {
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
        this.observeChunk(request.route, delivery, startedAt);
        const event = `id: ${delivery.turn}:${item.index}\ndata: ${item.data}\n\n`;
        if (!(await this.write(exchange, event))) return undefined;
      }
      note(item, delivery);
    }
    const facts = `: limpettack turn=${delivery.turn} durability=${delivery.durability}\n\n`;
    if (await this.write(exchange, `${facts}data: [DONE]\n\n`)) response.end();
    return undefined;
  }

  private async answerWhole(
    exchange: CallerExchange,
    request: programs.CallRequest,
    shardKey: string | undefined,
    startedAt: clockTypes.Milliseconds,
  ): Promise<errors.Fault | undefined> {
    const delivery = createDelivery();
    for await (const item of this.options.homes.call(request, shardKey, exchange.gone)) {
      if (item.kind === ITEM_KINDS.FAULT) return item.fault;
      if (item.kind === ITEM_KINDS.CHUNK) {
        this.observeChunk(request.route, delivery, startedAt);
        delivery.chunks.push(item.data);
      }
      note(item, delivery);
    }
    const { response } = exchange;
    response.setHeader('limpettack-turn', delivery.turn);
    response.setHeader('limpettack-durability', delivery.durability);
    const completion = programs.assembleCompletion(delivery.chunks);
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
    return respond.writeSlowly(response, text, exchange.gone);
  }

  private observeChunk(
    route: string,
    delivery: Delivery,
    startedAt: clockTypes.Milliseconds,
  ): void {
    const now = this.options.clock.now();
    const { metrics: counts } = this.options;
    if (delivery.lastTokenAt === undefined) counts.observeFirstToken(route, now - startedAt);
    else counts.observeBetweenTokens(route, now - delivery.lastTokenAt);
    delivery.lastTokenAt = now;
  }
}

function createDelivery(): Delivery {
  return { chunks: [], turn: 0, durability: '', lastTokenAt: undefined };
}

function note(item: programs.CallItem, delivery: Delivery): void {
  if (item.kind === ITEM_KINDS.STARTED) delivery.turn = item.turn;
  if (item.kind === ITEM_KINDS.FINISHED) {
    delivery.turn = item.turn;
    delivery.durability = item.durability;
  }
}

/** What is passed on to the engine beside the messages. */
function parametersOf(chat: ChatRequest): Record<string, unknown> {
  const own = new Set([
    'messages',
    'stream',
    'stream_options',
    'max_tokens',
    'max_completion_tokens',
  ]);
  return Object.fromEntries(Object.entries(chat).filter(([name]) => !own.has(name)));
}
