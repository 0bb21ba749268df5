import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as metrics from '@limpettack/metrics';
import * as programs from '@limpettack/programs';
import * as zod from 'zod';
import * as callerFields from './callerFields.js';
import type * as callGate from './CallGate.js';
import * as readBody from './readBody.js';
import * as respond from './respond.js';
import type { CallerExchange, EntryLimits, Homes, FaultResult } from './Types.js';

const EVENT_ID_PATTERN = /^[0-9]{1,6}:([0-9]{1,7})$/;
const MAXIMUM_SMALL_BODY_BYTES = 16_384;
const STATUS_CREATED = 201;
const STATUS_OK = 200;

const OPEN_PROGRAM_BODY = zod.strictObject({
  route: zod.string().min(1).max(63),
  parent: zod.string().max(100).optional(),
  budget: zod
    .strictObject({
      tokens: zod.int().min(0).optional(),
      calls: zod.int().min(0).optional(),
      wallTimeMs: zod.int().min(1).optional(),
    })
    .optional(),
});

/** Dependencies of the programs handler. */
export interface ProgramsHandlerOptions {
  readonly gate: callGate.CallGate;
  readonly configuration: configuration.ConfigurationView;
  readonly homes: Homes;
  readonly limits: EntryLimits;
  readonly metrics: metrics.Metrics;
  readonly clock: clockTypes.Clock;
}

/** Opens, shows and ends programs, and returns the recorded responses of their turns. */
export class ProgramsHandler {
  public constructor(private readonly options: ProgramsHandlerOptions) {}

  /** Handles `POST /v1/programs`. */
  public async open(exchange: CallerExchange): Promise<errors.Fault | undefined> {
    const body = await readBody.readBody(exchange.request, MAXIMUM_SMALL_BODY_BYTES);
    if (body.isErr) return body.error;
    const parsed = readBody.parseJson(body.value, OPEN_PROGRAM_BODY);
    if (parsed.isErr) return parsed.error;
    const { route: routeName, parent, budget } = parsed.value;
    if (parent !== undefined && !programs.isProgramId(parent)) {
      return errors.createFault('bad-request', 'The parent is malformed.');
    }
    const route = this.options.configuration.routeFor(exchange.caller, routeName);
    if (route.isErr) return route.error;
    const refusal = await this.options.gate.admit(exchange);
    if (refusal !== undefined) return refusal;
    const opened = await this.options.homes.open({
      ...(exchange.caller.workspace === undefined ? {} : { workspace: exchange.caller.workspace }),
      program: programs.createProgramId(parent),
      route: routeName,
      ...(parent === undefined ? {} : { parent }),
      budget: boundBudget(route.value, budget),
      isDefaultBudget: budget === undefined,
    });
    return respondWithResult(exchange, opened, STATUS_CREATED);
  }

  /** Handles `GET /v1/programs/ID`. */
  public async show(exchange: CallerExchange, id: string): Promise<errors.Fault | undefined> {
    return respondWithResult(
      exchange,
      await this.options.homes.show(exchange.caller.workspace, id),
      STATUS_OK,
    );
  }

  /** Handles `DELETE /v1/programs/ID`. */
  public async end(exchange: CallerExchange, id: string): Promise<errors.Fault | undefined> {
    const { workspace } = exchange.caller;
    const ended = await this.options.homes.end(workspace, id, false);
    return respondWithResult(exchange, ended, STATUS_OK);
  }

  /**
   * Handles `GET /v1/programs/ID/turns/N`. Sends the complete response, or an event stream that
   * continues after the caller's last event.
   */
  public async showTurn(
    exchange: CallerExchange,
    id: string,
    turnText: string,
  ): Promise<errors.Fault | undefined> {
    const turn = callerFields.parseTurn(turnText);
    if (turn === undefined) return errors.createFault('bad-request', 'The turn is malformed.');
    const found = await this.options.homes.showTurn(exchange.caller.workspace, id, turn);
    if (found.isErr) return found.error;
    const recorded = found.value;
    exchange.response.setHeader('limpettack-turn', recorded.turn);
    if (recorded.answer.chunks.length === 0) {
      writeServiceResponse(exchange, recorded);
    } else if (wantsStream(exchange)) {
      await writeEventStream(exchange, recorded);
    } else {
      const completion = programs.assembleCompletion(recorded.answer.chunks);
      respond.respondJson(exchange.response, STATUS_OK, completion);
    }
    return undefined;
  }
}

function respondWithResult<Value>(
  exchange: CallerExchange,
  result: FaultResult<Value>,
  status: number,
): errors.Fault | undefined {
  if (result.isErr) return result.error;
  respond.respondJson(exchange.response, status, result.value);
  return undefined;
}

/** The requested budget, capped by the maximum of the route. */
function boundBudget(
  route: configuration.Route,
  requested: zod.infer<typeof OPEN_PROGRAM_BODY>['budget'],
): programs.Budget {
  const maximum = route.budget;
  return {
    tokens: Math.min(requested?.tokens ?? maximum.tokens, maximum.tokens),
    calls: Math.min(requested?.calls ?? maximum.calls, maximum.calls),
    wallTimeMs: Math.min(requested?.wallTimeMs ?? maximum.wallTimeMs, maximum.wallTimeMs),
  };
}

function wantsStream(exchange: CallerExchange): boolean {
  return (exchange.request.headers.accept ?? '').includes('text/event-stream');
}

function writeServiceResponse(exchange: CallerExchange, recorded: programs.RecordedTurn): void {
  const body = Buffer.from(recorded.answer.body, 'base64');
  const type = recorded.answer.headers['content-type'] ?? 'application/octet-stream';
  exchange.response.writeHead(recorded.answer.status, {
    'content-type': type,
    'content-length': body.length,
  });
  exchange.response.end(body);
}

async function writeEventStream(
  exchange: CallerExchange,
  recorded: programs.RecordedTurn,
): Promise<void> {
  const { response, request, abortSignal } = exchange;
  const lastEvent = EVENT_ID_PATTERN.exec([request.headers['last-event-id'] ?? ''].flat()[0] ?? '');
  const firstIndex = lastEvent === null ? 0 : Number(lastEvent[1]) + 1;
  response.writeHead(STATUS_OK, { 'content-type': 'text/event-stream' });
  for (let index = firstIndex; index < recorded.answer.chunks.length; index += 1) {
    const event = `id: ${recorded.turn}:${index}\ndata: ${recorded.answer.chunks[index]}\n\n`;
    if (!(await respond.writeWithBackpressure(response, event, abortSignal))) return;
  }
  response.end('data: [DONE]\n\n');
}
