import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as programs from '@limpettack/programs';
import * as trueMyth from 'true-myth';
import * as callerFields from './callerFields.js';
import type { CallDependencies } from './CallDependencies.js';
import * as readBody from './readBody.js';
import type { CallerExchange, FaultResult } from './Types.js';

const { ITEM_KINDS } = programs;

const PATH_PATTERN = /^\/v1\/services\/([a-z0-9][a-z0-9-]{0,62})(\/[^?#]*)?$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/**
 * Dot segments and encoded separators could make a target resolve a path other than the checked
 * one.
 */
const UNSAFE_PATH_PATTERN = /%2e|%2f|%5c|%00|\\|\/\.\.?(\/|$)/i;

/**
 * Hop-by-hop fields, credentials and fields that this system sets itself. They are not forwarded.
 */
const UNFORWARDED_FIELDS = new Set([
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
const SYSTEM_FIELD_PREFIX = 'limpettack-';

const HOP_BY_HOP_RESPONSE_FIELDS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'upgrade',
  'trailer',
]);

/** Handles requests with any method to `/v1/services/ROUTE/...`: service calls. */
export class ServiceHandler {
  public constructor(private readonly options: CallDependencies) {}

  /** Handles the request and sends the service's complete response. */
  public async handle(exchange: CallerExchange): Promise<errors.Fault | undefined> {
    const startedAt = this.options.clock.now();
    const prepared = await this.prepare(exchange);
    if (prepared.isErr) return prepared.error;
    const request = prepared.value;
    const fault = await this.relay(exchange, request);
    const outcome = fault === undefined ? 'finished' : 'failed';
    const durationMs = this.options.clock.now() - startedAt;
    this.options.metrics.observeCall(request.route, request.workspace ?? '', outcome, durationMs);
    return fault;
  }

  private async prepare(exchange: CallerExchange): Promise<FaultResult<programs.CallRequest>> {
    const path = readPath(exchange);
    if (path.isErr) return trueMyth.Result.err(path.error);
    const callHeaders = callerFields.readCallHeaders(exchange.request);
    if (callHeaders.isErr) return trueMyth.Result.err(callHeaders.error);
    const idempotencyKey = readIdempotencyKey(exchange);
    if (idempotencyKey.isErr) return trueMyth.Result.err(idempotencyKey.error);
    const body = await readBody.readBody(exchange.request, this.options.limits.maximumBodyBytes);
    if (body.isErr) return trueMyth.Result.err(body.error);
    const admitted = await this.options.gate.admitCall(
      exchange,
      path.value.route,
      configuration.CALL_KINDS.SERVICE,
      body.value,
    );
    if (admitted.isErr) return trueMyth.Result.err(admitted.error);
    const route = admitted.value;
    if (!route.repeatable && idempotencyKey.value === undefined) {
      return trueMyth.Result.err(errors.createFault('idempotency-key-required'));
    }
    const { program, turn, deadlineMs } = callHeaders.value;
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
        path: path.value.targetPath,
        headers: forwardedFields(exchange),
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
    for await (const item of this.options.homes.call(
      request,
      shardKeyOf(request),
      exchange.abortSignal,
    )) {
      if (item.kind === ITEM_KINDS.FAULT) return item.fault;
      if (item.kind === ITEM_KINDS.ANSWER) answer = item;
      if (item.kind === ITEM_KINDS.FINISHED) {
        exchange.response.setHeader('limpettack-turn', item.turn);
        exchange.response.setHeader('limpettack-durability', item.durability);
      }
    }
    if (answer === undefined) return errors.createFault('stream-interrupted');
    writeResponse(exchange, answer);
    return undefined;
  }
}

function writeResponse(
  exchange: CallerExchange,
  answer: Extract<programs.CallItem, { kind: 'answer' }>,
): void {
  const { response } = exchange;
  const headers = Object.entries(answer.headers).filter(
    ([name]) => !HOP_BY_HOP_RESPONSE_FIELDS.has(name),
  );
  response.writeHead(answer.status, {
    ...Object.fromEntries(headers),
    'content-length': answer.body.length,
  });
  response.end(answer.body);
}

/**
 * The shard key of a call of a program or with an idempotency key, which must reach the VM that
 * knows its earlier attempts. Other calls have none.
 */
function shardKeyOf(request: programs.CallRequest): string | undefined {
  const { program } = request;
  return program === undefined ? programs.callKeyOf(request) : programs.rootOf(program);
}

function readPath(exchange: CallerExchange): FaultResult<{ route: string; targetPath: string }> {
  const url = exchange.request.url ?? '';
  const [path = '', query] = url.split('?', 2);
  const match = PATH_PATTERN.exec(path);
  if (match === null || UNSAFE_PATH_PATTERN.test(path)) {
    return trueMyth.Result.err(errors.createFault('bad-request', 'The path is malformed.'));
  }
  const targetPath = `${match[2] ?? '/'}${query === undefined ? '' : `?${query}`}`;
  return trueMyth.Result.ok({ route: match[1] ?? '', targetPath });
}

function readIdempotencyKey(exchange: CallerExchange): FaultResult<string | undefined> {
  const field = exchange.request.headers['idempotency-key'];
  if (field === undefined) return trueMyth.Result.ok(undefined);
  if (typeof field !== 'string' || !IDEMPOTENCY_KEY_PATTERN.test(field)) {
    return trueMyth.Result.err(
      errors.createFault('bad-request', 'The Idempotency-Key is malformed.'),
    );
  }
  return trueMyth.Result.ok(field);
}

/** The caller's header fields that are forwarded to the target. */
function forwardedFields(exchange: CallerExchange): Record<string, string> {
  const connectionFields = (exchange.request.headers.connection ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase());
  const forwarded = Object.entries(exchange.request.headers).filter(
    ([name]) =>
      !UNFORWARDED_FIELDS.has(name) &&
      !name.startsWith(SYSTEM_FIELD_PREFIX) &&
      !connectionFields.includes(name),
  );
  return Object.fromEntries(
    forwarded.map(([name, value]) => [name, [value ?? ''].flat().join(', ')]),
  );
}
