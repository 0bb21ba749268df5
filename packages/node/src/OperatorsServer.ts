import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as clock from '@limpettack/clock';
import * as entry from '@limpettack/entry';
import * as errors from '@limpettack/errors';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as metrics from '@limpettack/metrics';
import * as programs from '@limpettack/programs';
import * as wire from '@limpettack/wire';
import * as zod from 'zod';
import type * as fleetView from './FleetView.js';

const BEARER_PREFIX = 'Bearer ';
const MAXIMUM_BODY_BYTES = 65_536;
const STATUS_OK = 200;
const STATUS_UNAVAILABLE = 503;
const PROGRAM_PATH_PATTERN = /^\/v1\/operators\/programs\/([^/]{1,100})$/;

const RESOLVE_BODY = zod.strictObject({
  callKey: zod.string().min(1).max(1_000),
  outcome: zod.enum([programs.RESOLUTIONS.RAN, programs.RESOLUTIONS.NOT_RUN]),
  note: zod.string().max(1_000).default(''),
});

/** The server's address, token and collaborators. */
export interface OperatorsServerOptions {
  readonly host: string;
  readonly port: number;
  /** The bearer token that operators must present. */
  readonly token: string;
  readonly metrics: metrics.Metrics;
  /** Whether `/readyz` reports the VM as ready. */
  readonly isReady: () => boolean;
  readonly fleet: fleetView.FleetView;
  readonly homes: entry.Homes;
  readonly reads: wire.ReadScheduler;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** The HTTP server of the operators' port: health, metrics, fleet, programs and calls in doubt. */
export class OperatorsServer implements lifetime.Disposable {
  private readonly server = http.createServer((request, response) => {
    this.serve(request, response);
  });

  private readonly listener: wire.ServerListener;

  public constructor(private readonly options: OperatorsServerOptions) {
    const { server } = this;
    options.reads.paceServer(server, 'operators');
    this.listener = new wire.ServerListener({ ...options, server });
  }

  /** Listens as soon as the address is free. Resolves with the port in use. */
  public listen(): Promise<number> {
    const { host, port } = this.options;
    return this.listener.listen({ host, port });
  }

  /** @inheritdoc */
  public dispose(): void {
    this.listener.dispose();
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    response.on('error', () => undefined);
    try {
      const fault = await this.handleRequest(request, response);
      if (fault !== undefined) entry.respondFault(response, fault, '');
    } catch {
      entry.respondFault(response, errors.createFault('internal'), '');
    }
  }

  private async handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<errors.Fault | undefined> {
    const path = (request.url ?? '').split('?')[0] ?? '';
    if (path === '/healthz') return respondHealth(response, true);
    if (path === '/readyz') return respondHealth(response, this.options.isReady());
    if (path === '/metrics') return this.respondMetrics(response);
    if (!path.startsWith('/v1/operators/')) return errors.createFault('not-found');
    if (!this.isAuthorized(request)) return errors.createFault('operator-untrusted');
    return this.handleOperatorRequest(path, request, response);
  }

  private async handleOperatorRequest(
    path: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<errors.Fault | undefined> {
    const { method } = request;
    if (path === '/v1/operators/fleet' && method === 'GET') {
      entry.respondJson(response, STATUS_OK, await this.options.fleet.describe());
      return undefined;
    }
    if (path === '/v1/operators/in-doubt' && method === 'GET') {
      entry.respondJson(response, STATUS_OK, await this.options.fleet.listInDoubt());
      return undefined;
    }
    if (path === '/v1/operators/in-doubt/resolve' && method === 'POST') {
      return this.handleResolveRequest(request, response);
    }
    const id = PROGRAM_PATH_PATTERN.exec(path)?.[1];
    if (id === undefined) return errors.createFault('not-found');
    if (!programs.isProgramId(id)) return errors.createFault('bad-request');
    return this.handleProgramRequest(id, method, response);
  }

  private async handleProgramRequest(
    id: string,
    method: string | undefined,
    response: http.ServerResponse,
  ): Promise<errors.Fault | undefined> {
    if (method !== 'GET' && method !== 'DELETE') return errors.createFault('method-not-allowed');
    const result =
      method === 'GET'
        ? await this.options.fleet.showProgram(id)
        : await this.options.homes.end(undefined, id, true);
    if (result.isErr) return result.error;
    entry.respondJson(response, STATUS_OK, result.value);
    return undefined;
  }

  private async handleResolveRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<errors.Fault | undefined> {
    const body = await entry.readBody(request, MAXIMUM_BODY_BYTES);
    if (body.isErr) return body.error;
    const parsed = entry.parseJson(body.value, RESOLVE_BODY);
    if (parsed.isErr) return parsed.error;
    const resolved = await this.options.fleet.resolveInDoubt(parsed.value);
    if (resolved.isErr) return resolved.error;
    entry.respondJson(response, STATUS_OK, resolved.value);
    return undefined;
  }

  private async respondMetrics(response: http.ServerResponse): Promise<undefined> {
    const text = await this.options.metrics.text();
    response.writeHead(STATUS_OK, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(text);
    return undefined;
  }

  private isAuthorized(request: http.IncomingMessage): boolean {
    const presented = digest(request.headers.authorization ?? '');
    return crypto.timingSafeEqual(presented, digest(`${BEARER_PREFIX}${this.options.token}`));
  }
}

function digest(text: string): Buffer {
  return crypto.createHash('sha256').update(text).digest();
}

function respondHealth(response: http.ServerResponse, isHealthy: boolean): undefined {
  entry.respondJson(response, isHealthy ? STATUS_OK : STATUS_UNAVAILABLE, { ok: isHealthy });
  return undefined;
}
