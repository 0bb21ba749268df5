import * as net from 'node:net';
import * as jestGlobals from '@jest/globals';
import * as testKit from '@limpettack/test-kit';
import * as openAi from 'openai';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const DECODE_MS_PER_TOKEN = 20;

const FLOODED_CONNECTIONS = 40;
const BLOCK_PIECES = 10_000;

let fleet: testKit.Fleet;
const caller = new testKit.Caller(testKit.FLEET_NAMES.KEY, testKit.FLEET_NAMES.MODEL_ROUTE);

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 2,
    failureDomains: ['kochi', 'thrissur'],
    engineOptions: { 'decode-ms-per-token': DECODE_MS_PER_TOKEN },
    settings: { journal: { shardCount: 4 } },
  });
});

afterAll(() => fleet.dispose());

/** Returns a VM that does not own the program, so that it forwards calls to the owner. */
async function findNonOwner(program: string): Promise<testKit.FleetVm> {
  const shown = await caller.send(fleet.vm(0), 'GET', `/v1/programs/${program}`);
  const { owner } = JSON.parse(shown.text) as { owner: string };
  return fleet.vm(owner === fleet.vm(0).name ? 1 : 0);
}

function createClient(vm: testKit.FleetVm, headers: Record<string, string> = {}) {
  return new openAi.OpenAI({
    baseURL: `${vm.url}/v1`,
    apiKey: testKit.FLEET_NAMES.KEY,
    defaultHeaders: headers,
    maxRetries: 0,
  });
}

describe("the callers' interface", () => {
  test('streams the first token across two VMs while later ones are still being generated', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    const vm = await findNonOwner(program);
    const callOptions = { program, turn: 1, text: 'hello', maximumTokens: 40 };
    const startedAt = performance.now();
    const arrivals: number[] = [];
    for await (const event of caller.stream(vm, callOptions)) {
      if (testKit.textOfEvent(event) !== '') arrivals.push(performance.now() - startedAt);
    }
    expect(arrivals).toHaveLength(40);
    const [first = Infinity] = arrivals;
    const last = arrivals.at(-1) ?? 0;
    // Lower bound of the engine's time between the first and the last token.
    expect(last - first).toBeGreaterThan(39 * DECODE_MS_PER_TOKEN * 0.8);
    expect(first).toBeLessThan(last / 2);
  });

  test('a slow caller does not stall other calls', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    const vm = await findNonOwner(program);
    const slow = caller.stream(vm, { program, turn: 1, text: 'slow', maximumTokens: 400 });
    await slow.next();
    const response = await caller.chat(vm, { text: 'quick', maximumTokens: 2, timeoutMs: 5_000 });
    expect(response.status).toBe(200);
    await slow.return();
  });

  // What had arrived on each connection was parsed at once, which kept the process from all others.
  test('callers that send chunks of one byte without end do not delay other calls', async () => {
    const { hostname, port } = new URL(fleet.vm(0).url);
    const head =
      'POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
    const block = '1\r\nx\r\n'.repeat(BLOCK_PIECES);
    const sockets = Array.from({ length: FLOODED_CONNECTIONS }, () => {
      const socket = net.connect(Number(port), hostname);
      const sendMore = (): void => {
        while (!socket.destroyed && socket.write(block));
      };
      socket.on('error', () => undefined);
      socket.on('drain', sendMore);
      socket.write(head);
      sendMore();
      return socket;
    });
    for (let call = 0; call < 5; call += 1) {
      const options = { text: 'quick', maximumTokens: 2, timeoutMs: 1_500 };
      expect((await caller.chat(fleet.vm(0), options)).status).toBe(200);
    }
    expect(sockets.some((socket) => !socket.destroyed)).toBe(true);
    sockets.forEach((socket) => socket.destroy());
  });

  test('an OpenAI client makes a non-streaming and a streaming call within a program', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    const client = createClient(fleet.vm(1), { 'Limpettack-Program': program });
    const request = {
      model: testKit.FLEET_NAMES.MODEL_ROUTE,
      messages: [{ role: 'user', content: 'one' } as const],
      max_tokens: 6,
    };
    const whole = await client.chat.completions.create(request);
    expect(whole.choices[0]?.message.content).toMatch(/^digest=/);
    expect(whole.usage?.completion_tokens).toBe(6);
    const stream = await client.chat.completions.create({ ...request, stream: true });
    let text = '';
    for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? '';
    const again = await caller.send(fleet.vm(0), 'GET', `/v1/programs/${program}/turns/2`);
    expect(testKit.contentOf(again)).toBe(text);
  });

  test('an OpenAI client lists the routes and receives a refusal', async () => {
    const client = createClient(fleet.vm(0));
    const models = await client.models.list();
    expect(models.data.map((model) => model.id)).toEqual([testKit.FLEET_NAMES.MODEL_ROUTE]);
    const refused = client.chat.completions.create({
      model: 'no-such-route',
      messages: [{ role: 'user', content: 'one' }],
    });
    await expect(refused).rejects.toMatchObject({ status: 404, code: 'route-unknown' });
  });

  test('a stream resumes after the last event that the caller received', async () => {
    const program = await caller.openProgram(fleet.vm(0));
    const callOptions = { program, turn: 1, text: 'hello', maximumTokens: 30 };
    const received: testKit.StreamEvent[] = [];
    for await (const event of caller.stream(fleet.vm(0), callOptions)) {
      received.push(event);
      // The caller drops its connection before the response is complete.
      if (received.length === 10) break;
    }
    const response = await caller.send(fleet.vm(1), 'GET', `/v1/programs/${program}/turns/1`, {
      headers: { accept: 'text/event-stream', 'last-event-id': received.at(-1)?.id ?? '' },
    });
    expect(response.text).toContain('id: 1:10\n');
    expect(response.text).not.toContain('id: 1:9\n');
    expect(response.text.trimEnd().endsWith('data: [DONE]')).toBe(true);
  });
});
