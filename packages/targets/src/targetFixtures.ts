import * as http from 'node:http';
import type * as net from 'node:net';

import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as configurationLookups from './ConfigurationLookup.js';
import * as clients from './HttpTargetClient.js';
import type { TargetResult } from './Types.js';

/** Fixtures for the tests of this package. */

const LOOPBACK = '127.0.0.1';

/** A logger that writes nothing. */
export const SILENT_LOGGER: logging.Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** The fencing number of calls in tests. */
export const FENCING = { scope: 'shard-1', number: 3 };

/** Responds to a request after its body has been read. */
export type Handler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

/** An HTTP server on a free port. */
export interface TestServer extends lifetime.Disposable {
  readonly url: string;
  /** Method and path of each received request. */
  readonly requests: string[];
}

/** Starts an HTTP server. Disposing of the result closes all its connections. */
export async function serve(handler: Handler): Promise<TestServer> {
  const requests: string[] = [];
  const server = http.createServer((request, response) => {
    requests.push(`${request.method} ${request.url}`);
    request.resume();
    request.once('end', () => handler(request, response));
  });
  const url = await listen(server);
  const dispose = (): void => {
    server.close();
    server.closeAllConnections();
  };
  return { url, requests, dispose };
}

/** Starts a server on a free port and returns its URL. */
export async function listen(server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, LOOPBACK, resolve);
  });
  return `http://${LOOPBACK}:${(server.address() as net.AddressInfo).port}`;
}

/** Creates a configuration with one pool of the given targets. */
export function createState(
  targets: readonly string[],
  overrides: Partial<configuration.Pool> = {},
  url = `http://${LOOPBACK}:1`,
): configuration.ConfigurationState {
  const pool = configuration.POOL.parse({
    name: 'pool',
    kind: 'model',
    credential: 'engines',
    outcomeQuery: '/outcomes/{key}',
    targets: targets.map((name) => ({ name, url, failureDomain: 'kochi' })),
    timeLimits: { connectMs: 500, firstTokenMs: 300, betweenTokensMs: 300, totalMs: 3_000 },
    ...overrides,
  });
  return {
    version: 1,
    routes: new Map(),
    pools: new Map([[pool.name, pool]]),
    workspaces: new Map(),
    keys: new Map(),
    withdrawn: new Set(),
  };
}

/** Creates a client whose configuration has the target `one` at a URL. */
export function createClient(
  url: string,
  overrides: Partial<configuration.Pool> = {},
  options: Partial<clients.HttpTargetClientOptions> = {},
): clients.HttpTargetClient {
  const state = createState(['one'], overrides, url);
  return new clients.HttpTargetClient({
    lookup: new configurationLookups.ConfigurationLookup({ current: () => state }),
    credentials: new Map([['engines', 'engine-credential']]),
    clock: new clock.SystemClock(),
    logger: SILENT_LOGGER,
    ...options,
  });
}

/** Returns the kind of a result's failure, or undefined on success. */
export function failureOf(result: TargetResult<unknown>): string | undefined {
  return result.isErr ? result.error.kind : undefined;
}

/** Polls until the condition holds. There is no timeout. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}
