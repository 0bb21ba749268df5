import * as jestGlobals from '@jest/globals';
import * as clock from '@limpettack/clock';
import * as undici from 'undici';

import * as engineServer from './EngineServer.js';
import * as generateText from './generateText.js';

const { afterEach, describe, expect, test } = jestGlobals;

const TIME = new clock.SystemClock();
const MESSAGES = [{ role: 'user', content: 'one two three' }];

describe('EngineServer', () => {
  const engines: engineServer.EngineServer[] = [];

  async function startEngine(
    options: engineServer.EngineOptions = {},
  ): Promise<engineServer.EngineServer> {
    const engine = new engineServer.EngineServer(TIME, { decodeMsPerToken: 1, ...options });
    engines.push(engine);
    await engine.start();
    return engine;
  }

  afterEach(async () => {
    await Promise.all(engines.splice(0).map((engine) => engine.dispose()));
  });

  test('returns text determined by the messages, in complete and streamed responses', async () => {
    const engine = await startEngine();
    const unary = await chat(engine, { max_tokens: 4 });
    const body = (await unary.body.json()) as { choices: [{ message: { content: string } }] };
    expect(body.choices[0].message.content).toBe(generateText.expectedText(MESSAGES, 4));
    const streamedResponse = await chat(engine, {
      max_tokens: 4,
      stream: true,
      stream_options: { include_usage: true },
    });
    const events = eventsOf(await streamedResponse.body.text());
    expect(textOf(events)).toBe(generateText.expectedText(MESSAGES, 4));
    expect(events.at(-1)).toBe('[DONE]');
    expect(JSON.parse(events.at(-2) ?? '')).toMatchObject({
      usage: { prompt_tokens: 3, completion_tokens: 4 },
    });
  });

  test('continues generating after the connection drops, and resumes after a chunk count', async () => {
    const engine = await startEngine();
    await engine.host.setFaults({ dropAfterChunks: 2 });
    const broken = await chat(engine, { max_tokens: 30, stream: true }, { 'limpettack-call': 'a' });
    await expect(broken.body.text()).rejects.toThrow();
    await engine.host.setFaults({ dropAfterChunks: null });
    const resumed = await undici.request(`${engine.url}/v1/calls/a/stream?after=2`);
    const rest = textOf(eventsOf(await resumed.body.text()));
    const completeText = generateText.expectedText(MESSAGES, 30);
    expect(rest).toBe(completeText.slice(generateText.expectedText(MESSAGES, 2).length));
    expect(engine.host.journal(0, '/v1/chat')).toMatchObject([{ outcome: 'finished' }]);
  });

  test('runs calls with a smaller priority value first and stops a cancelled call', async () => {
    const engine = await startEngine({ slots: 1, decodeMsPerToken: 20 });
    const order: string[] = [];
    const start = (callId: string, priority: string): Promise<void> =>
      chat(
        engine,
        { max_tokens: 5 },
        { 'limpettack-call': callId, 'limpettack-priority': priority },
      ).then(
        async (response) => {
          await response.body.dump();
          order.push(callId);
        },
        () => {
          order.push(`${callId} stopped`);
        },
      );
    const first = start('first', '0');
    await waitUntilRunning(engine, 1);
    const later = [start('later', '9'), start('sooner', '1'), start('cancelled', '5')];
    await waitUntilRunning(engine, 4);
    await undici.request(`${engine.url}/v1/calls/cancelled`, { method: 'DELETE' });
    await Promise.all([first, ...later]);
    expect(order).toEqual(['cancelled stopped', 'first', 'sooner', 'later']);
  });

  test('caches the prefix of a program until it is released', async () => {
    const engine = await startEngine({ cacheEventDelayMs: 0 });
    const headers = { 'limpettack-program': 'p' };
    await (await chat(engine, { max_tokens: 2 }, headers)).body.dump();
    const longer = [
      ...MESSAGES,
      { role: 'assistant', content: generateText.expectedText(MESSAGES, 2) },
      { role: 'user', content: 'four' },
    ];
    const second = await chat(engine, { messages: longer, max_tokens: 2 }, headers);
    expect(await second.body.json()).toMatchObject({
      usage: { prompt_tokens: 6, prompt_tokens_details: { cached_tokens: 5 } },
    });
    expect(await get(engine, '/v1/sessions')).toEqual({ sessions: [{ program: 'p', tokens: 8 }] });
    await undici.request(`${engine.url}/v1/sessions/p`, { method: 'DELETE' });
    expect(await get(engine, '/v1/sessions')).toEqual({ sessions: [] });
    expect(await get(engine, '/v1/cache/events?after=4')).toEqual({
      events: [{ sequence: 5, kind: 'evicted', program: 'p', tokens: 8 }],
      nextSequence: 6,
    });
  });

  test('refuses an outdated fencing number only when the check is enabled', async () => {
    const fencingHeaders = (number: string): Record<string, string> => ({
      'limpettack-fencing-scope': 'shard-1',
      'limpettack-fencing-number': number,
    });
    const statuses = async (checksFencing: boolean): Promise<number[]> => {
      const engine = await startEngine({ checksFencing });
      const newer = await chat(engine, { max_tokens: 1 }, fencingHeaders('2'));
      const older = await chat(engine, { max_tokens: 1 }, fencingHeaders('1'));
      return [newer.statusCode, older.statusCode];
    };
    expect(await statuses(true)).toEqual([200, 409]);
    expect(await statuses(false)).toEqual([200, 200]);
  });

  test('exports a session to another engine, and reports load with a lag and leaving at once', async () => {
    const [source, destination] = [await startEngine(), await startEngine({ loadLagMs: 60_000 })];
    await (await chat(source, { max_tokens: 2 }, { 'limpettack-program': 'p' })).body.dump();
    const exported = await post(source, '/v1/kv/export', { program: 'p' });
    const session = (await exported.body.json()) as Record<string, unknown>;
    await post(destination, '/v1/kv/import', { program: 'p', ...session });
    await destination.host.setFaults({ leaving: true });
    const running = chat(destination, { max_tokens: 2 }, { 'limpettack-program': 'p' });
    expect(await get(destination, '/v1/load')).toMatchObject({ running: 0, status: 'leaving' });
    expect(await (await running).body.json()).toMatchObject({
      usage: { prompt_tokens_details: { cached_tokens: 3 } },
    });
  });

  test('sends nothing on a stalled stream until the fault ends', async () => {
    const engine = await startEngine({ decodeMsPerToken: 0 });
    await engine.host.setFaults({ stallStreams: true });
    const response = await chat(engine, { max_tokens: 2, stream: true });
    const text = response.body.text();
    const other = await chat(engine, { max_tokens: 2 });
    expect(other.statusCode).toBe(200);
    expect(await Promise.race([text, TIME.sleep(50).then(() => 'nothing')])).toBe('nothing');
    await engine.host.setFaults({ stallStreams: false });
    expect(textOf(eventsOf(await text))).toBe(generateText.expectedText(MESSAGES, 2));
  });

  test('loses all calls and sessions when a call crashes the engine', async () => {
    const engine = await startEngine();
    const bystander = chat(engine, { max_tokens: 1_000 }, { 'limpettack-program': 'p' });
    await waitUntilRunning(engine, 1);
    await engine.host.setFaults({ crashOnText: 'three' });
    await expect(chat(engine, {})).rejects.toThrow();
    await expect(bystander).rejects.toThrow();
    expect(await get(engine, '/v1/sessions')).toEqual({ sessions: [] });
    expect(engine.host.journal(0, '/v1/chat').map((entry) => entry.outcome)).toEqual([
      'crashed',
      'crashed',
    ]);
  });
});

function chat(
  engine: engineServer.EngineServer,
  body: Record<string, unknown>,
  headers: Record<string, string> = {},
): Promise<undici.Dispatcher.ResponseData> {
  return post(engine, '/v1/chat/completions', { messages: MESSAGES, ...body }, headers);
}

function post(
  engine: engineServer.EngineServer,
  path: string,
  body: Record<string, unknown>,
  headers: Record<string, string> = {},
): Promise<undici.Dispatcher.ResponseData> {
  return undici.request(engine.url + path, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify(body),
  });
}

async function get(engine: engineServer.EngineServer, path: string): Promise<unknown> {
  const response = await undici.request(engine.url + path);
  return response.body.json();
}

async function waitUntilRunning(engine: engineServer.EngineServer, count: number): Promise<void> {
  for (;;) {
    const response = (await get(engine, '/v1/calls')) as { calls: unknown[] };
    if (response.calls.length >= count) return;
    await TIME.sleep(1);
  }
}

function eventsOf(text: string): string[] {
  return text.split('\n').flatMap((line) => (line.startsWith('data: ') ? [line.slice(6)] : []));
}

function textOf(events: readonly string[]): string {
  return events
    .filter((event) => event !== '[DONE]')
    .map((event) => JSON.parse(event) as { choices: { delta: { content?: string } }[] })
    .map((chunk) => chunk.choices[0]?.delta.content ?? '')
    .join('');
}
