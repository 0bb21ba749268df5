import * as net from 'node:net';

import * as jestGlobals from '@jest/globals';
import type * as lifetime from '@limpettack/lifetime';
import * as lifetimes from '@limpettack/lifetime';
import type * as clients from './HttpTargetClient.js';
import * as fixtures from './targetFixtures.js';
import type { ModelCall, ModelChunk, TargetResult } from './Types.js';

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

function createClient(
  ...parameters: Parameters<typeof fixtures.createClient>
): clients.HttpTargetClient {
  const client = fixtures.createClient(...parameters);
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
    fencing: fixtures.FENCING,
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

describe('HttpTargetClient.runModel', () => {
  test('streams a response that arrives byte by byte', async () => {
    const answer = Buffer.from(`${chunk(0)}${chunk(1).replace('t1', 'ß')}: note\r\n${DONE}`);
    const engine = await serve((_request, response) => {
      [...answer].forEach((byte) => response.write(Buffer.from([byte])));
      response.end();
    });
    expect(await runModel(createClient(engine.url))).toEqual({ text: 't0ß', failure: undefined });
    expect(engine.requests).toEqual(['POST /v1/chat/completions']);
  });

  test('fails with not-sent if no server listens', async () => {
    const engine = await serve(() => undefined);
    engine.dispose();
    expect((await runModel(createClient(engine.url))).failure).toBe('not-sent');
  });

  test('resumes a stalled stream on a new connection', async () => {
    const engine = await serve((request, response) => {
      const isResume = request.method === 'GET';
      response.write(isResume ? `${chunk(1)}${chunk(2)}${chunk(3)}${DONE}` : chunk(0) + chunk(1));
      if (isResume) response.end();
    });
    const answer = await runModel(createClient(engine.url));
    expect(answer).toEqual({ text: 't0t1t2t3', failure: undefined });
    expect(engine.requests).toContain('GET /v1/calls/call-1/stream?after=2');
  });

  test('fails with died if the target is unreachable after the stream broke', async () => {
    const engine = await serve((_request, response) => {
      response.write(chunk(0), () => engine.dispose());
    });
    const answer = await runModel(createClient(engine.url));
    expect(answer).toEqual({ text: 't0', failure: 'died' });
  });

  test('fails with died if the target no longer knows a call that it was running', async () => {
    const engine = await serve((request, response) => {
      if (request.method !== 'POST') response.writeHead(404).end();
      else response.write(chunk(0), () => response.destroy());
    });
    expect(await runModel(createClient(engine.url))).toEqual({ text: 't0', failure: 'died' });
  });

  test('fails with died if the target crashes on the call and restarts immediately', async () => {
    const engine = await serve((request, response) => {
      if (request.method === 'POST') response.destroy();
      else response.writeHead(404).end();
    });
    expect((await runModel(createClient(engine.url))).failure).toBe('died');
  });

  test('fails with timed-out if a new connection delivers no chunk either', async () => {
    const engine = await serve((_request, response) => response.write(': waiting\n\n'));
    expect((await runModel(createClient(engine.url))).failure).toBe('timed-out');
    await fixtures.waitUntil(() => engine.requests.includes('DELETE /v1/calls/call-1'));
  });

  test('fails with broken if the request was lost but the target responds', async () => {
    const engine = await serve((request, response) => {
      if (request.method !== 'POST') response.writeHead(404).end();
    });
    expect((await runModel(createClient(engine.url))).failure).toBe('broken');
  });

  test('fails with died if the target accepts connections but never responds', async () => {
    const url = await listenWithoutResponding();
    expect((await runModel(createClient(url))).failure).toBe('died');
  });

  test('distinguishes fenced from refused', async () => {
    const body = JSON.stringify({ error: { type: 'fenced' } });
    const fencing = await serve((_request, response) => response.writeHead(409).end(body));
    const refusing = await serve((_request, response) => response.writeHead(503).end('no'));
    expect((await runModel(createClient(fencing.url))).failure).toBe('fenced');
    expect((await runModel(createClient(refusing.url))).failure).toBe('refused');
  });

  test('cancels the call on the engine if the caller cancels it', async () => {
    const giveUp = new AbortController();
    const engine = await serve((request, response) => {
      if (request.method === 'DELETE') response.writeHead(204).end();
      else response.write(chunk(0), () => giveUp.abort());
    });
    const answer = await runModel(createClient(engine.url), giveUp.signal);
    expect(answer.failure).toBe('cancelled');
    await fixtures.waitUntil(() => engine.requests.includes('DELETE /v1/calls/call-1'));
  });

  test.each([
    ['is lost', 404, 'broken'],
    ['was cancelled', 200, 'broken'],
  ])(
    'does not treat a response without its last event as complete: the call %s',
    async (_name, status, kind) => {
      const engine = await serve((request, response) => {
        if (request.method === 'GET') response.writeHead(status).end();
        else response.end(chunk(0));
      });
      expect((await runModel(createClient(engine.url))).failure).toBe(kind);
    },
  );

  test('abandons an idle stream of a target that does not respond', async () => {
    const unreachable = new lifetimes.Emitter<string>();
    const engine = await serve((request, response) => {
      const isResume = request.method === 'GET';
      response.write(isResume ? `${chunk(1)}${DONE}` : chunk(0));
      if (isResume) response.end();
    });
    const longLimits = { connectMs: 500, firstTokenMs: 60_000, betweenTokensMs: 60_000 };
    const timeLimits = { ...longLimits, totalMs: 60_000 };
    const client = createClient(engine.url, { timeLimits }, { onUnreachable: unreachable.event });
    const notifying = setInterval(() => unreachable.fire('one'), 50);
    owned.push({ dispose: () => clearInterval(notifying) });
    expect(await runModel(client)).toEqual({ text: 't0t1', failure: undefined });
  });
});
