import type * as http from 'node:http';
import * as net from 'node:net';

import * as jestGlobals from '@jest/globals';
import type * as lifetime from '@limpettack/lifetime';
import type * as clients from './HttpTargetClient.js';
import * as fixtures from './targetFixtures.js';
import type { ServiceCall } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const owned: lifetime.Disposable[] = [];

afterEach(async () => {
  for (const item of owned.splice(0).reverse()) await item.dispose();
});

async function serve(handler: fixtures.Handler): Promise<fixtures.TestServer> {
  const served = await fixtures.serve(handler);
  owned.push(served);
  return served;
}

async function listenWithoutResponding(): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => sockets.add(socket.on('error', () => undefined)));
  owned.push({
    dispose: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  });
  return fixtures.listen(server);
}

function createClient(url: string): clients.HttpTargetClient {
  const client = fixtures.createClient(url, { kind: 'service' });
  owned.push(client);
  return client;
}

function serviceCall(headers: Record<string, string> = {}): ServiceCall {
  return {
    callId: 'call-1',
    pool: 'pool',
    target: 'one',
    method: 'POST',
    path: '/charges',
    headers,
    body: Buffer.from('{}'),
    idempotencyKey: 'key-1',
    fencing: fixtures.FENCING,
  };
}

function callService(client: clients.HttpTargetClient, headers: Record<string, string> = {}) {
  return client.callService(serviceCall(headers), new AbortController().signal);
}

describe('HttpTargetClient.callService', () => {
  test('sends no key of the caller and returns the complete response', async () => {
    let headers: http.IncomingHttpHeaders = {};
    const service = await serve((request, response) => {
      headers = request.headers;
      response.writeHead(201, { 'x-receipt': 'r1' }).end('paid');
    });
    const answer = await callService(createClient(service.url), {
      Authorization: 'Bearer caller-key',
      'Limpettack-Fencing-Number': '99',
    });
    expect(answer.isOk && [answer.value.status, answer.value.headers['x-receipt']]).toEqual([
      201,
      'r1',
    ]);
    expect(headers.authorization).toBe('Bearer engine-credential');
    expect(headers['limpettack-fencing-number']).toBe('3');
    expect(headers['idempotency-key']).toBe('key-1');
  });

  test('fails with not-sent if no server listens', async () => {
    const service = await serve(() => undefined);
    service.dispose();
    expect(fixtures.failureOf(await callService(createClient(service.url)))).toBe('not-sent');
  });

  test('sends a call once even if its connection breaks', async () => {
    const service = await serve((request, response) => {
      if (request.method === 'GET') response.end('{"status":"ready"}');
      else response.destroy();
    });
    expect(fixtures.failureOf(await callService(createClient(service.url)))).toBe('broken');
    expect(service.requests.filter((line) => line === 'POST /charges')).toHaveLength(1);
  });

  test('fails with died if the target goes down in the middle of its response', async () => {
    const service = await serve((_request, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('half', () => service.dispose());
    });
    expect(fixtures.failureOf(await callService(createClient(service.url)))).toBe('died');
  });

  test.each([
    ['with a length', 'content-length: 100\r\n\r\nhalf', 'broken'],
    ['in chunks', 'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n', 'broken'],
    ['without an end', '\r\nhalf', 'invalid'],
  ])('does not treat a truncated response %s as complete', async (_name, rest, kind) => {
    const service = await serve((request, response) => {
      if (request.method === 'GET') response.end('{}');
      else request.socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n${rest}`);
    });
    expect(fixtures.failureOf(await callService(createClient(service.url)))).toBe(kind);
  });

  test('fails at the time limit if the target does not respond', async () => {
    const client = createClient(await listenWithoutResponding());
    expect(fixtures.failureOf(await callService(client))).toBe('timed-out');
  });

  test('queries an outcome by idempotency key', async () => {
    const service = await serve((request, response) => {
      if (request.url === '/outcomes/known') response.end('paid');
      else response.writeHead(404).end();
    });
    const client = createClient(service.url);
    const known = await client.queryOutcome('pool', 'one', 'known');
    expect(known.isOk && known.value?.status).toBe(200);
    const unknown = await client.queryOutcome('pool', 'one', 'other');
    expect(unknown.isOk && unknown.value).toBeUndefined();
    expect(unknown.isOk).toBe(true);
  });
});
