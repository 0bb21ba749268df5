import * as http from 'node:http';
import * as net from 'node:net';

import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as schemas from '@limpettack/configuration';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as configurationLookups from './ConfigurationLookup.js';
import * as clients from './HttpTargetClient.js';
import type { ModelCall, ModelChunk, ServiceCall, TargetResult } from './Types.js';

const { afterEach, describe, expect, test } = jestGlobals;

const owned: lifetime.Disposable[] = [];

afterEach(async () => {
  for (const item of owned.splice(0).reverse()) await item.dispose();
});

const SILENT_LOGGER: logging.Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

const FENCING = { scope: 'shard-1', number: 3 };

type Handler = (request: http.IncomingMessage, response: http.ServerResponse) => void;

interface Served {
  readonly url: string;
  readonly seen: string[];
  close(): void;
}

async function serve(handler: Handler): Promise<Served> {
  const seen: string[] = [];
  const server = http.createServer((request, response) => {
    seen.push(`${request.method} ${request.url}`);
    request.resume();
    request.once('end', () => handler(request, response));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const close = (): void => {
    server.close();
    server.closeAllConnections();
  };
  owned.push({ dispose: close });
  return { url: `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`, seen, close };
}

async function listenSilently(): Promise<string> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => sockets.add(socket.on('error', () => undefined)));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  owned.push({
    dispose: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  });
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

function createClient(
  url: string,
  kind: configuration.Pool['kind'] = 'model',
): clients.HttpTargetClient {
  const pool = schemas.POOL.parse({
    name: 'pool',
    kind,
    credential: 'engines',
    outcomeQuery: '/outcomes/{key}',
    targets: [{ name: 'one', url, failureDomain: 'kochi' }],
    timeLimits: { connectMs: 500, firstTokenMs: 300, betweenTokensMs: 300, totalMs: 3_000 },
  });
  const state = {
    version: 1,
    routes: new Map(),
    pools: new Map([[pool.name, pool]]),
    workspaces: new Map(),
    keys: new Map(),
    withdrawn: new Set<string>(),
  };
  const client = new clients.HttpTargetClient({
    lookup: new configurationLookups.ConfigurationLookup({ current: () => state }),
    credentials: new Map([['engines', 'engine-credential']]),
    clock: new clock.SystemClock(),
    logger: SILENT_LOGGER,
  });
  owned.push(client);
  return client;
}

function modelCall(): ModelCall {
  return {
    callId: 'call-1',
    program: 'program-1',
    pool: 'pool',
    target: 'one',
    parameters: {},
    messages: [{ role: 'user', content: 'hello' }],
    maximumTokens: 8,
    priority: 0,
    fencing: FENCING,
  };
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
    fencing: FENCING,
  };
}

function chunk(index: number): string {
  const data = { choices: [{ delta: { content: `t${index}` } }] };
  return `id: ${index}\ndata: ${JSON.stringify(data)}\n\n`;
}

const DONE = 'data: [DONE]\n\n';

async function collect(
  results: AsyncIterable<TargetResult<ModelChunk>>,
): Promise<{ text: string; failure: string | undefined }> {
  let text = '';
  let failure: string | undefined;
  for await (const result of results) {
    if (result.isOk) text += result.value.text;
    else failure = result.error.kind;
  }
  return { text, failure };
}

function runModel(client: clients.HttpTargetClient, signal = new AbortController().signal) {
  return collect(client.runModel(modelCall(), signal));
}

function callService(client: clients.HttpTargetClient, headers: Record<string, string> = {}) {
  return client.callService(serviceCall(headers), new AbortController().signal);
}

function failureOf(result: TargetResult<unknown>): string | undefined {
  return result.isErr ? result.error.kind : undefined;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('HttpTargetClient: model calls', () => {
  test('streams an answer that comes in pieces cut anywhere', async () => {
    const answer = Buffer.from(`${chunk(0)}${chunk(1).replace('t1', 'ß')}: note\r\n${DONE}`);
    const engine = await serve((_request, response) => {
      [...answer].forEach((byte) => response.write(Buffer.from([byte])));
      response.end();
    });
    expect(await runModel(createClient(engine.url))).toEqual({ text: 't0ß', failure: undefined });
    expect(engine.seen).toEqual(['POST /v1/chat/completions']);
  });

  test('says not-sent when nobody listens', async () => {
    const engine = await serve(() => undefined);
    engine.close();
    const client = createClient(engine.url);
    expect((await runModel(client)).failure).toBe('not-sent');
    expect(failureOf(await callService(client))).toBe('not-sent');
  });

  test('resumes a stream that stalls on a fresh connection', async () => {
    const engine = await serve((request, response) => {
      const isResume = request.method === 'GET';
      response.write(isResume ? `${chunk(1)}${chunk(2)}${chunk(3)}${DONE}` : chunk(0) + chunk(1));
      if (isResume) response.end();
    });
    const answer = await runModel(createClient(engine.url));
    expect(answer).toEqual({ text: 't0t1t2t3', failure: undefined });
    expect(engine.seen).toContain('GET /v1/calls/call-1/stream?after=2');
  });

  test('says died when the target cannot be reached after the stream broke', async () => {
    const engine = await serve((_request, response) => {
      response.write(chunk(0), () => engine.close());
    });
    const answer = await runModel(createClient(engine.url));
    expect(answer).toEqual({ text: 't0', failure: 'died' });
  });

  test('says died when the target has forgotten a call that it was running', async () => {
    const engine = await serve((request, response) => {
      if (request.method !== 'POST') response.writeHead(404).end();
      else response.write(chunk(0), () => response.destroy());
    });
    expect(await runModel(createClient(engine.url))).toEqual({ text: 't0', failure: 'died' });
  });

  test('says died when the target crashes on the call and is up again at once', async () => {
    const engine = await serve((request, response) => {
      if (request.method === 'POST') response.destroy();
      else response.writeHead(404).end();
    });
    expect((await runModel(createClient(engine.url))).failure).toBe('died');
  });

  test('says timed-out when a fresh connection brings no chunk either', async () => {
    const engine = await serve((_request, response) => response.write(': waiting\n\n'));
    expect((await runModel(createClient(engine.url))).failure).toBe('timed-out');
    await until(() => engine.seen.includes('DELETE /v1/calls/call-1'));
  });

  test('says broken when the request was lost but the target answers', async () => {
    const engine = await serve((request, response) => {
      if (request.method !== 'POST') response.writeHead(404).end();
    });
    expect((await runModel(createClient(engine.url))).failure).toBe('broken');
  });

  test('says died when connections open but nothing ever answers', async () => {
    const url = await listenSilently();
    expect((await runModel(createClient(url))).failure).toBe('died');
  });

  test('tells fenced from refused', async () => {
    const body = JSON.stringify({ error: { type: 'fenced' } });
    const fencing = await serve((_request, response) => response.writeHead(409).end(body));
    const refusing = await serve((_request, response) => response.writeHead(503).end('no'));
    expect((await runModel(createClient(fencing.url))).failure).toBe('fenced');
    expect((await runModel(createClient(refusing.url))).failure).toBe('refused');
  });

  test('cancels at the engine when the caller gives up', async () => {
    const giveUp = new AbortController();
    const engine = await serve((request, response) => {
      if (request.method === 'DELETE') response.writeHead(204).end();
      else response.write(chunk(0), () => giveUp.abort());
    });
    const answer = await runModel(createClient(engine.url), giveUp.signal);
    expect(answer.failure).toBe('cancelled');
    await until(() => engine.seen.includes('DELETE /v1/calls/call-1'));
  });

  test('takes an answer without its last event as cut off, never as whole', async () => {
    const engine = await serve((request, response) => {
      if (request.method === 'GET') response.writeHead(404).end();
      else response.end(chunk(0));
    });
    expect((await runModel(createClient(engine.url))).failure).toBe('broken');
  });
});

describe('HttpTargetClient: service calls', () => {
  test('sends no key of the caller and hands the whole answer back', async () => {
    let headers: http.IncomingHttpHeaders = {};
    const service = await serve((request, response) => {
      headers = request.headers;
      response.writeHead(201, { 'x-receipt': 'r1' }).end('paid');
    });
    const answer = await callService(createClient(service.url, 'service'), {
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

  test('sends a call once, whatever becomes of its connection', async () => {
    const service = await serve((request, response) => {
      if (request.method === 'GET') response.end('{"status":"ready"}');
      else response.destroy();
    });
    expect(failureOf(await callService(createClient(service.url, 'service')))).toBe('broken');
    expect(service.seen.filter((line) => line === 'POST /charges')).toHaveLength(1);
  });

  test('says died when the target goes away in the middle of its answer', async () => {
    const service = await serve((_request, response) => {
      response.writeHead(200, { 'content-length': '100' });
      response.write('half', () => service.close());
    });
    expect(failureOf(await callService(createClient(service.url, 'service')))).toBe('died');
  });

  test.each([
    ['with a length', 'content-length: 100\r\n\r\nhalf', 'broken'],
    ['in pieces', 'transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n', 'broken'],
    ['without an end', '\r\nhalf', 'invalid'],
  ])('never takes a cut-off answer %s as whole', async (_name, rest, kind) => {
    const service = await serve((request, response) => {
      if (request.method === 'GET') response.end('{}');
      else request.socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n${rest}`);
    });
    expect(failureOf(await callService(createClient(service.url, 'service')))).toBe(kind);
  });

  test('gives up a silent call at its time limit', async () => {
    const client = createClient(await listenSilently(), 'service');
    expect(failureOf(await callService(client))).toBe('timed-out');
  });

  test('asks for an outcome by key', async () => {
    const service = await serve((request, response) => {
      if (request.url === '/outcomes/known') response.end('paid');
      else response.writeHead(404).end();
    });
    const client = createClient(service.url, 'service');
    const known = await client.queryOutcome('pool', 'one', 'known');
    expect(known.isOk && known.value?.status).toBe(200);
    const unknown = await client.queryOutcome('pool', 'one', 'other');
    expect(unknown.isOk && unknown.value).toBeUndefined();
    expect(unknown.isOk).toBe(true);
  });
});
