import * as http from 'node:http';
import type * as net from 'node:net';
import type * as clockTypes from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as metrics from '@limpettack/metrics';
import * as programs from '@limpettack/programs';
import * as wire from '@limpettack/wire';
import * as ulid from 'ulid';
import * as callerFields from './callerFields.js';
import type * as chatHandler from './ChatHandler.js';
import type * as programsHandler from './ProgramsHandler.js';
import * as respond from './respond.js';
import type * as serviceHandler from './ServiceHandler.js';
import type { CallerExchange, EntryLimits } from './Types.js';

const PROGRAM_PATH_PATTERN = /^\/v1\/programs\/([^/]{1,100})(?:\/turns\/([^/]{1,20}))?$/;
const KEY_WITHDRAWN = 'withdrawn';
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;

/** Time after which an idle keep-alive connection is closed, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Interval at which a shutdown checks whether all requests have ended, in milliseconds. */
const DRAIN_CHECK_MS = 20;

/** Dependencies and settings of the entry server. */
export interface EntryServerOptions {
  readonly host: string;
  readonly port: number;
  readonly limits: EntryLimits;
  readonly configuration: configuration.ConfigurationView;
  readonly chat: chatHandler.ChatHandler;
  readonly services: serviceHandler.ServiceHandler;
  readonly programs: programsHandler.ProgramsHandler;
  readonly isReady: () => boolean;
  /**
   * Whether the process is shutting down. `/readyz` then fails, so that the load balancer sends no
   * more requests.
   */
  readonly isDraining: () => boolean;
  readonly metrics: metrics.Metrics;
  readonly reads: wire.ReadScheduler;
  readonly clock: clockTypes.Clock;
  readonly logger: logging.Logger;
}

/** The HTTP server for callers. */
export class EntryServer implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly server: http.Server;

  private readonly listener: wire.ServerListener;

  /** Abort controllers of the open exchanges, by the digest of the caller's key. */
  private readonly exchangesByKey = new Map<string, Set<AbortController>>();

  private requestsInProgress = 0;

  public constructor(private readonly options: EntryServerOptions) {
    const { limits } = options;
    this.server = http.createServer(
      {
        headersTimeout: limits.headersTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        connectionsCheckingInterval: Math.min(1_000, limits.headersTimeoutMs),
        requireHostHeader: true,
      },
      (request, response) => {
        this.serve(request, response);
      },
    );
    options.reads.paceServer(this.server, 'callers');
    this.server.maxConnections = limits.maximumConnections;
    this.server.on('clientError', (error, socket) =>
      respondToClientError(error, socket as net.Socket),
    );
    const { clock, logger } = options;
    this.listener = new wire.ServerListener({ server: this.server, clock, logger });
    this.store.add(options.configuration.onKeyWithdrawn((digest) => this.abortExchangesOf(digest)));
  }

  /** Number of requests in progress. */
  public get openCount(): number {
    return this.requestsInProgress;
  }

  /** Listens for callers as soon as the address is free. Resolves with the port. */
  public listen(): Promise<number> {
    const { host, port } = this.options;
    return this.listener.listen({ host, port });
  }

  /** Stops accepting connections and resolves when all requests in progress have ended. */
  public async drain(): Promise<void> {
    this.listener.dispose();
    this.server.close();
    this.server.closeIdleConnections();
    while (this.requestsInProgress > 0) {
      await this.options.clock.sleep(DRAIN_CHECK_MS);
      this.server.closeIdleConnections();
    }
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.listener.dispose();
    await this.store.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const requestId = ulid.ulid();
    this.requestsInProgress += 1;
    response.once('close', () => {
      this.requestsInProgress -= 1;
    });
    response.on('error', () => undefined);
    response.setHeader('limpettack-request', requestId);
    if (this.options.isDraining()) response.setHeader('connection', 'close');
    try {
      const fault = await this.dispatch(request, response, requestId);
      if (fault !== undefined) this.respondWithFault(request, response, fault, requestId);
    } catch (error) {
      this.options.logger.error('A request failed.', { request: requestId, reason: String(error) });
      respond.respondFault(response, errors.createFault('internal'), requestId);
    }
  }

  private respondWithFault(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    fault: errors.Fault,
    requestId: string,
  ): void {
    this.options.metrics.countRefusal(fault.kind);
    // Closes the connection, because an unread rest of the body would be parsed as the next
    // request.
    if (!request.complete) response.setHeader('connection', 'close');
    respond.respondFault(response, fault, requestId);
  }

  private async dispatch(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
  ): Promise<errors.Fault | undefined> {
    const url = parseUrl(request);
    if (url === undefined) return errors.createFault('bad-request', 'The path is malformed.');
    if (url.pathname === '/healthz') return respondHealth(response, true);
    if (url.pathname === '/readyz') {
      return respondHealth(response, this.options.isReady() && !this.options.isDraining());
    }
    if (!this.options.isReady()) return errors.createFault('not-ready');
    const key = callerFields.readKey(request);
    if (key.isErr) return key.error;
    const caller = this.options.configuration.identify(key.value);
    if (caller.isErr) return caller.error;
    const { keyDigest } = caller.value;
    const controller = this.trackExchange(response, keyDigest);
    const fault = await this.route({
      request,
      response,
      url,
      requestId,
      caller: caller.value,
      key: key.value,
      abortSignal: controller.signal,
    });
    // Reports the withdrawn key if the response has not started yet.
    if (controller.signal.reason === KEY_WITHDRAWN) return errors.createFault('key-withdrawn');
    return fault;
  }

  private async route(exchange: CallerExchange): Promise<errors.Fault | undefined> {
    const { method } = exchange.request;
    const { pathname } = exchange.url;
    if (pathname === '/v1/chat/completions') {
      return method === 'POST' ? this.options.chat.handle(exchange) : methodNotAllowed();
    }
    if (pathname === '/v1/models') {
      return method === 'GET' ? this.listRoutes(exchange) : methodNotAllowed();
    }
    if (pathname.startsWith('/v1/services/')) return this.options.services.handle(exchange);
    if (pathname === '/v1/programs') {
      return method === 'POST' ? this.options.programs.open(exchange) : methodNotAllowed();
    }
    return this.routeProgram(exchange, method, pathname);
  }

  private async routeProgram(
    exchange: CallerExchange,
    method: string | undefined,
    pathname: string,
  ): Promise<errors.Fault | undefined> {
    const match = PROGRAM_PATH_PATTERN.exec(pathname);
    if (match === null) return errors.createFault('not-found');
    const [, id = '', turn] = match;
    if (!programs.isProgramId(id)) {
      return errors.createFault('bad-request', 'The program id is malformed.');
    }
    const handler = this.options.programs;
    if (turn !== undefined) {
      return method === 'GET' ? handler.showTurn(exchange, id, turn) : methodNotAllowed();
    }
    if (method === 'GET') return handler.show(exchange, id);
    return method === 'DELETE' ? handler.end(exchange, id) : methodNotAllowed();
  }

  /** Lists the model routes that the caller may use, in the conventional format. */
  private listRoutes(exchange: CallerExchange): undefined {
    const view = this.options.configuration;
    const accessibleRoutes = [...view.current().routes.values()]
      .filter((route) => route.kind === 'model')
      .filter((route) => view.routeFor(exchange.caller, route.name).isOk);
    respond.respondJson(exchange.response, STATUS_OK, {
      object: 'list',
      data: accessibleRoutes.map((route) => ({
        id: route.name,
        object: 'model',
        owned_by: 'limpettack',
      })),
    });
    return undefined;
  }

  /** Returns a controller that aborts when the response closes or the caller's key is withdrawn. */
  private trackExchange(
    response: http.ServerResponse,
    keyDigest: string | undefined,
  ): AbortController {
    const controller = new AbortController();
    const controllers = keyDigest === undefined ? undefined : this.controllersOf(keyDigest);
    controllers?.add(controller);
    response.once('close', () => {
      controller.abort();
      controllers?.delete(controller);
      if (controllers?.size === 0 && keyDigest !== undefined) this.exchangesByKey.delete(keyDigest);
    });
    return controller;
  }

  private controllersOf(keyDigest: string): Set<AbortController> {
    const controllers = this.exchangesByKey.get(keyDigest) ?? new Set();
    this.exchangesByKey.set(keyDigest, controllers);
    return controllers;
  }

  private abortExchangesOf(keyDigest: string): void {
    this.exchangesByKey.get(keyDigest)?.forEach((controller) => controller.abort(KEY_WITHDRAWN));
  }
}

function parseUrl(request: http.IncomingMessage): URL | undefined {
  const path = request.url ?? '';
  // A leading double slash would be parsed as a host.
  if (!path.startsWith('/') || path.startsWith('//')) return undefined;
  try {
    return new URL(path, 'http://entry.invalid');
  } catch {
    return undefined;
  }
}

function methodNotAllowed(): errors.Fault {
  return errors.createFault('method-not-allowed');
}

function respondHealth(response: http.ServerResponse, isHealthy: boolean): undefined {
  respond.respondJson(response, isHealthy ? STATUS_OK : STATUS_UNAVAILABLE, { ok: isHealthy });
  return undefined;
}

/**
 * Responds to an HTTP request that is malformed or arrives too slowly, and closes the connection.
 */
function respondToClientError(error: Error & { code?: string }, socket: net.Socket): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const kind = error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 'request-timeout' : 'bad-request';
  const fault = errors.createFault(kind);
  const body = JSON.stringify(respond.faultBody(fault, ''));
  const { status } = errors.ERROR_KINDS[kind];
  socket.end(
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}
