import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as programs from '@limpettack/programs';
import * as trueMyth from 'true-myth';
import * as callerFields from './callerFields.js';
import type { CallCollaborators } from './CallCollaborators.js';
import * as readBody from './readBody.js';
import type { CallerExchange, Outcome } from './Types.js';

const { ITEM_KINDS } = programs;

const PATH_PATTERN = /^\/v1\/services\/([a-z0-9][a-z0-9-]{0,62})(\/[^?#]*)?$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Encoded separators and dots could lead a target to another path than the one that was checked. */
const SUSPICIOUS_PATH_PATTERN = /%2e|%2f|%5c|%00|\\|\/\.\.?(\/|$)/i;

/** Fields between two neighbours only, and those that this system sets itself. */
const OWN_FIELDS = new Set([
  'authorization',
  'proxy-authorization',
  'proxy-authenticate',
  'cookie',
  'host',
  'connection',
  'keep-alive',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
  'idempotency-key',
]);
const OWN_FIELD_PREFIX = 'limpettack-';

const ANSWER_OWN_FIELDS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'trailer',
]);

/** Answers `ANY /v1/services/ROUTE/...`, a plain service call. */
export class ServiceHandler {
  public constructor(private readonly options: CallCollaborators) {}

  /** Answers the request with the service's whole answer. */
  public async handle(exchange: CallerExchange): Promise<errors.Fault | undefined> {
    const startedAt = this.options.clock.now();
    const prepared = await this.prepare(exchange);
    if (prepared.isErr) return prepared.error;
    const request = prepared.value;
    const fault = await this.relay(exchange, request);
    const outcome = fault === undefined ? 'finished' : 'failed';
    const spanMs = this.options.clock.now() - startedAt;
    this.options.metrics.observeCall(request.route, request.workspace ?? '', outcome, spanMs);
    return fault;
  }

  private async prepare(exchange: CallerExchange): Promise<Outcome<programs.CallRequest>> {
    const path = readPath(exchange);
    if (path.isErr) return trueMyth.Result.err(path.error);
    const placement = callerFields.readPlacement(exchange.request);
    if (placement.isErr) return trueMyth.Result.err(placement.error);
    const idempotencyKey = readIdempotencyKey(exchange);
    if (idempotencyKey.isErr) return trueMyth.Result.err(idempotencyKey.error);
    const body = await readBody.readBody(exchange.request, this.options.limits.maximumBodyBytes);
    if (body.isErr) return trueMyth.Result.err(body.error);
    const passed = await this.options.gate.pass(
      exchange,
      path.value.route,
      configuration.CALL_KINDS.SERVICE,
      body.value,
    );
    if (passed.isErr) return trueMyth.Result.err(passed.error);
    const route = passed.value;
    if (!route.repeatable && idempotencyKey.value === undefined) {
      return trueMyth.Result.err(errors.createFault('idempotency-key-required'));
    }
    const { program, turn, deadlineMs } = placement.value;
    return trueMyth.Result.ok({
      requestId: exchange.requestId,
      workspace: exchange.caller.workspace,
      route: route.name,
      program,
      turn,
      remainingMs: deadlineMs ?? route.deadlineMs,
      resumeAfter: 0,
      call: {
        kind: configuration.CALL_KINDS.SERVICE,
        method: exchange.request.method ?? 'GET',
        path: path.value.rest,
        headers: passedFields(exchange),
        body: body.value,
        idempotencyKey: idempotencyKey.value,
      },
    });
  }

  private async relay(
    exchange: CallerExchange,
    request: programs.CallRequest,
  ): Promise<errors.Fault | undefined> {
    let answer: Extract<programs.CallItem, { kind: 'answer' }> | undefined;
    for await (const item of this.options.homes.call(request, shardKeyOf(request), exchange.gone)) {
      if (item.kind === ITEM_KINDS.FAULT) return item.fault;
      if (item.kind === ITEM_KINDS.ANSWER) answer = item;
      if (item.kind === ITEM_KINDS.FINISHED) {
        exchange.response.setHeader('limpettack-turn', item.turn);
        exchange.response.setHeader('limpettack-durability', item.durability);
      }
    }
    if (answer === undefined) return errors.createFault('stream-interrupted');
    writeAnswer(exchange, answer);
    return undefined;
  }
}

function writeAnswer(
  exchange: CallerExchange,
  answer: Extract<programs.CallItem, { kind: 'answer' }>,
): void {
  const { response } = exchange;
  const headers = Object.entries(answer.headers).filter(([name]) => !ANSWER_OWN_FIELDS.has(name));
  response.writeHead(answer.status, {
    ...Object.fromEntries(headers),
    'content-length': answer.body.length,
  });
  response.end(answer.body);
}

/** The shard key of a call that must find its earlier attempts; nothing for any other. */
function shardKeyOf(request: programs.CallRequest): string | undefined {
  const { program } = request;
  return program === undefined ? programs.callKeyOf(request) : programs.rootOf(program);
}

function readPath(exchange: CallerExchange): Outcome<{ route: string; rest: string }> {
  const raw = exchange.request.url ?? '';
  const [path = '', query] = raw.split('?', 2);
  const match = PATH_PATTERN.exec(path);
  if (match === null || SUSPICIOUS_PATH_PATTERN.test(path)) {
    return trueMyth.Result.err(errors.createFault('bad-request', 'The path is malformed.'));
  }
  const rest = `${match[2] ?? '/'}${query === undefined ? '' : `?${query}`}`;
  return trueMyth.Result.ok({ route: match[1] ?? '', rest });
}

function readIdempotencyKey(exchange: CallerExchange): Outcome<string | undefined> {
  const field = exchange.request.headers['idempotency-key'];
  if (field === undefined) return trueMyth.Result.ok(undefined);
  if (typeof field !== 'string' || !IDEMPOTENCY_KEY_PATTERN.test(field)) {
    return trueMyth.Result.err(
      errors.createFault('bad-request', 'The Idempotency-Key is malformed.'),
    );
  }
  return trueMyth.Result.ok(field);
}

/** The caller's header fields that go on to the target. */
function passedFields(exchange: CallerExchange): Record<string, string> {
  const named = (exchange.request.headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  const passed = Object.entries(exchange.request.headers).filter(
    ([name]) =>
      !OWN_FIELDS.has(name) && !name.startsWith(OWN_FIELD_PREFIX) && !named.includes(name),
  );
  return Object.fromEntries(passed.map(([name, value]) => [name, [value ?? ''].flat().join(', ')]));
}
