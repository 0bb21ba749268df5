import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import * as util from 'node:util';
import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import * as testKit from '@limpettack/test-kit';
import * as wire from '@limpettack/wire';
import * as jestGlobals from '@jest/globals';
import * as fastCheck from 'fast-check';
import * as ws from 'ws';
import * as zod from 'zod';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, afterEach, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE } = testKit.FLEET_NAMES;

const SEED = 20_261_205;
const RUNS = 150;
const REDUCED_RUNS = 12;
const SETTLE_MS = 1_000;
const RAW_TIMEOUT_MS = 4_000;
const EXIT_INVALID = 4;
const NODE_MAIN = path.resolve(
  url.fileURLToPath(import.meta.url),
  '../../packages/node/dist/main.js',
);

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
const execute = util.promisify(childProcess.execFile);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 2,
    failureDomains: ['kochi', 'thrissur'],
    settings: {
      journal: { shardCount: 4 },
      callers: { headersTimeoutMs: 2_000, requestTimeoutMs: 3_000, maximumBodyBytes: 4_096 },
    },
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterEach(async () => {
  fleet.vms.forEach((vm) => expect(vm.process.isRunning).toBe(true));
  const response = await caller.chat(fleet.vm(0), { text: 'still there?' });
  expect(response.status).toBe(200);
});

afterAll(() => fleet.dispose());

/** Checks that a response is successful or a refusal of a defined kind other than `internal`. */
function expectKnownError(response: testKit.CallerResponse): void {
  if (response.status < 400) return;
  const { kind, run } = testKit.refusalOf(response);
  expect(Object.keys(errors.ERROR_KINDS)).toContain(kind);
  expect(Object.values(errors.RUN_STATES)).toContain(run);
  expect(kind).not.toBe('internal');
}

async function checkProperty<Value>(
  values: fastCheck.Arbitrary<Value>,
  property: (value: Value) => Promise<void>,
  numRuns = RUNS,
): Promise<void> {
  await fastCheck.assert(fastCheck.asyncProperty(values, property), { seed: SEED, numRuns });
}

const PATHS = fastCheck.oneof(
  fastCheck.webPath(),
  fastCheck
    .tuple(
      fastCheck.constantFrom('/v1/programs/', '/v1/services/', '/v1/services/quotes/', '/v1/'),
      fastCheck.string({ unit: 'binary-ascii', maxLength: 120 }),
    )
    .map(([prefix, rest]) => prefix + encodeURIComponent(rest)),
  fastCheck.constantFrom(
    '/v1/programs/p-1/turns/99999999999999999999',
    '/v1/programs/..%2f..%2fadmin',
    '/v1/services/quotes/../../admin',
    '/v1/services/quotes/%00',
    `/v1/programs/${'x'.repeat(5_000)}`,
  ),
);

const FIELD_NAMES = [
  'limpettack-program',
  'limpettack-turn',
  'limpettack-deadline-ms',
  'idempotency-key',
  'last-event-id',
  'authorization',
  'content-type',
] as const;

const HEADERS = fastCheck.dictionary(
  fastCheck.constantFrom(...FIELD_NAMES),
  fastCheck.oneof(
    fastCheck.string({ maxLength: 40 }).map((text) => text.replace(/[^\x20-\x7e]/g, '')),
    fastCheck.constantFrom('-1', '0', '1e9', 'NaN', '99999999999999999999', 'Bearer ', '{}'),
  ),
);

/** Arbitrary bodies, among them nearly valid ones. */
const CHAT_BODIES = fastCheck.oneof(
  fastCheck.json(),
  fastCheck.string(),
  fastCheck
    .record(
      {
        model: fastCheck.oneof(fastCheck.constant(MODEL_ROUTE), fastCheck.anything()),
        messages: fastCheck.oneof(
          fastCheck.array(
            fastCheck.record({ role: fastCheck.anything(), content: fastCheck.anything() }),
          ),
          fastCheck.anything(),
        ),
        max_tokens: fastCheck.oneof(fastCheck.integer({ max: 8 }), fastCheck.anything()),
        stream: fastCheck.anything(),
      },
      { requiredKeys: [] },
    )
    .map((body) => toJson(body)),
);

/** Serializes a value. Returns invalid JSON for values that JSON cannot represent. */
function toJson(value: unknown): string {
  try {
    return JSON.stringify(value) ?? 'undefined';
  } catch {
    return '{';
  }
}

/** Sends bytes unmodified over TCP and returns the bytes received. */
function sendRaw(address: string, bytes: Buffer): Promise<string> {
  const separator = address.lastIndexOf(':');
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve) => {
    const socket = net.connect({ host: address.slice(0, separator), port });
    let text = '';
    const finish = (): void => {
      socket.destroy();
      resolve(text);
    };
    socket.setTimeout(RAW_TIMEOUT_MS, finish);
    socket.on('data', (part) => {
      text += part.toString('latin1');
    });
    socket.on('error', finish);
    socket.on('close', finish);
    socket.on('connect', () => socket.end(bytes));
  });
}

function callersAddress(): string {
  return new URL(fleet.vm(0).url).host;
}

describe('malformed requests are refused with a defined error kind', () => {
  test('paths, methods and header fields', async () => {
    const methods = fastCheck.constantFrom('GET', 'POST', 'PUT', 'DELETE' as const);
    await checkProperty(
      fastCheck.tuple(methods, PATHS, HEADERS),
      async ([method, target, headers]) => {
        const body = method === 'GET' ? {} : { body: '{}' };
        const response = await caller.send(fleet.vm(0), method, target, { ...body, headers });
        if (response.status === 0) throw new Error(response.text);
        expectKnownError(response);
      },
    );
  });

  test('bodies of model calls and of programs', async () => {
    await checkProperty(CHAT_BODIES, async (body) => {
      for (const target of ['/v1/chat/completions', '/v1/programs']) {
        const response = await caller.send(fleet.vm(1), 'POST', target, { body });
        expect(response.status).not.toBe(0);
        expectKnownError(response);
      }
    });
  });

  test('a body over the limit', async () => {
    const body = JSON.stringify({ model: MODEL_ROUTE, messages: ['x'.repeat(8_000)] });
    const response = await caller.send(fleet.vm(0), 'POST', '/v1/chat/completions', { body });
    expect(testKit.refusalOf(response)).toMatchObject({ kind: 'body-too-large', run: 'not-run' });
  });

  test('bytes that are not valid HTTP', async () => {
    const bytes = fastCheck.oneof(
      fastCheck.uint8Array({ maxLength: 300 }).map((part) => Buffer.from(part)),
      fastCheck
        .string({ maxLength: 200 })
        .map((text) => Buffer.from(`POST /v1/programs HTTP/1.1\r\nHost: a\r\n${text}\r\n\r\n`)),
      fastCheck.constantFrom(
        Buffer.from('GET / HTTP/1.1\r\n\r\n'),
        Buffer.from('POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n'),
        Buffer.from('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'),
        Buffer.from(`GET / HTTP/1.1\r\nHost: a\r\nX: ${'y'.repeat(70_000)}\r\n\r\n`),
      ),
    );
    await checkProperty(bytes, async (part) => {
      const text = await sendRaw(callersAddress(), part);
      const body = /\r\n\r\n(\{.*\})/s.exec(text)?.[1];
      if (body === undefined) return;
      const { kind } = JSON.parse(body) as { kind?: string };
      if (kind !== undefined) expect(Object.keys(errors.ERROR_KINDS)).toContain(kind);
    });
  });

  test('the operators’ port', async () => {
    const operators = { url: fleet.vm(0).operatorsUrl };
    await checkProperty(fastCheck.tuple(PATHS, HEADERS), async ([target, headers]) => {
      const response = await caller.send(operators, 'POST', target, { headers, body: '{}' });
      if (response.status === 0) throw new Error(response.text);
      expectKnownError(response);
    });
  });
});

describe('malformed records and messages do not crash a process', () => {
  test('records in the streams of the journal and the configuration', async () => {
    const { configurationVersion } = await fleet.vm(0).describeFleet();
    const streams = ['journal-0', 'journal-1', configuration.CONFIGURATION_STREAM];
    const kinds = ['body', 'claim', 'release', 'checkpoint', 'configurationEdit'];
    const records = fastCheck.oneof(
      fastCheck.string({ maxLength: 200 }),
      fastCheck.json(),
      fastCheck
        .record(
          {
            kind: fastCheck.constantFrom(...kinds, 'configurationSnapshot'),
            id: fastCheck.anything(),
            shard: fastCheck.nat(4),
            epoch: fastCheck.oneof(fastCheck.constant(-1), fastCheck.anything()),
            owner: fastCheck.anything(),
            body: fastCheck.anything(),
            change: fastCheck.anything(),
            basedOn: fastCheck.oneof(
              fastCheck.constant(configurationVersion),
              fastCheck.anything(),
            ),
          },
          { requiredKeys: ['kind'] },
        )
        .map(toJson),
    );
    const batches = fastCheck.array(records, { minLength: 1, maxLength: 20 });
    await checkProperty(
      batches,
      async (batch) => {
        for (const stream of streams) {
          expect((await fleet.log.append(stream, batch)).isOk).toBe(true);
        }
      },
      REDUCED_RUNS,
    );
    await time.sleep(SETTLE_MS);
    await fleet.untilReady();
    const runner = await testKit.ProgramRunner.open(
      caller,
      fleetHelpers.createRoundRobinPicker(fleet.vms),
    );
    await runner.turn('one');
    await runner.turn('two');
    await fleet.vm(1).restart();
    await fleet.untilReady();
    await runner.turn('three');
    const views = await Promise.all(fleet.vms.map((vm) => vm.describeFleet()));
    const versions = views.map((view) => view.configurationVersion);
    expect(versions).toEqual([configurationVersion, configurationVersion]);
  });

  test('bytes and WebSocket messages sent to the port for peers', async () => {
    const address = fleet.vm(0).peersAddress;
    const parts = fastCheck.uint8Array({ maxLength: 400 });
    await checkProperty(
      parts,
      async (part) => {
        await sendRaw(address, Buffer.from(part));
      },
      REDUCED_RUNS,
    );
    await checkProperty(parts, async (part) => {
      const socket = new ws.WebSocket(`ws://${address}/peer`);
      const closed = new Promise((resolve) => {
        socket.once('close', resolve);
        socket.once('error', resolve);
      });
      socket.once('open', () => socket.send(part));
      await closed;
    });
  });

  test('requests from a peer that holds the secret', async () => {
    const silentLogger = { trace() {}, debug() {}, info() {}, warn() {}, error() {} };
    const network = new wire.FleetNetwork({
      name: 'vm-9',
      incarnation: crypto.randomUUID(),
      failureDomain: 'kochi',
      secret: 'secret-of-the-test-fleet',
      host: '127.0.0.1',
      port: 0,
      clock: time,
      logger: silentLogger,
    });
    await network.listen();
    const names = await peerMethodNames();
    expect(names.length).toBeGreaterThan(5);
    const requests = fastCheck.tuple(
      fastCheck.constantFrom(...names, 'no.such.method'),
      fastCheck.oneof(
        fastCheck.jsonValue(),
        fastCheck.dictionary(
          fastCheck.constantFrom('shard', 'epoch', 'records', 'ownership', 'program', 'items'),
          fastCheck.jsonValue(),
        ),
      ),
    );
    let arrived = 0;
    await checkProperty(requests, async ([name, request]) => {
      const method = { name, request: zod.unknown(), response: zod.unknown() };
      const result = await network.request(fleet.vm(0).peersAddress, method, request, {
        timeoutMs: 1_000,
      });
      const isRefused = result.isErr && result.error.kind === wire.PEER_FAILURES.REFUSED;
      if (result.isOk || isRefused) arrived += 1;
    });
    // A response shows that the peer has read the request. Some messages have no response.
    expect(arrived).toBeGreaterThan(RUNS / 2);
    await network.dispose();
  });
});

/** Returns the method names of peer messages, extracted from the source files. */
async function peerMethodNames(): Promise<readonly string[]> {
  const packages = path.resolve(path.dirname(NODE_MAIN), '../..');
  const folders = await fs.readdir(packages);
  const texts = await Promise.all(
    folders.map(async (folder) => {
      const source = path.join(packages, folder, 'src');
      const files = (await fs.readdir(source)).filter((file) =>
        /messages|Methods|Exchange/i.test(file),
      );
      return Promise.all(files.map((file) => fs.readFile(path.join(source, file), 'utf8')));
    }),
  );
  const names = texts.flat().flatMap((text) => [...text.matchAll(/name: '([a-z][\w.-]+)'/gi)]);
  return [...new Set(names.map((match) => match[1] ?? ''))];
}

describe('limpettack-node --check', () => {
  test('refuses malformed settings with a message and does not crash', async () => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'settings-'));
    const texts = fastCheck.oneof(
      fastCheck.string({ maxLength: 200 }),
      fastCheck.json(),
      fastCheck.constantFrom('', '---\n---', 'a: &a [*a]', 'vm: {name: 1}', '\u0000', 'peers: !!x'),
    );
    await checkProperty(
      texts,
      async (text) => {
        const file = path.join(folder, 'settings.yaml');
        await fs.writeFile(file, text);
        const result = await execute(process.execPath, [NODE_MAIN, file, '--check'], {
          env: { PATH: process.env.PATH },
        }).catch((error: { code: number; stderr: string }) => error);
        expect(result).toMatchObject({ code: EXIT_INVALID });
        expect(result.stderr.length).toBeGreaterThan(0);
        expect(result.stderr).not.toMatch(/\n\s+at /);
      },
      REDUCED_RUNS,
    );
    await fs.rm(folder, { recursive: true });
  });
});
