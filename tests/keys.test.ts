import * as http from 'node:http';
import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetHelpers from './fleetHelpers.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE, SERVICE_ROUTE, WORKSPACE } = testKit.FLEET_NAMES;

const OTHER_WORKSPACE = 'sur';
const OTHER_KEY = 'key-of-sur';
const WITHDRAWN_KEY = 'key-that-is-withdrawn';
const OPEN_ROUTE = 'open-quotes';
const PRIVATE_ROUTE = 'quotes-of-norte';
const WITHDRAWAL_TIMEOUT_MS = 5_000;
const LONG_RESPONSE_TOKENS = 1_500;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
const otherCaller = new testKit.Caller(OTHER_KEY, MODEL_ROUTE);
const anonymousCaller = new testKit.Caller(undefined, MODEL_ROUTE);
let fleet: testKit.Fleet;

beforeAll(async () => {
  fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'tumbaco'],
    engineOptions: { 'decode-ms-per-token': 10 },
    proxies: { platform: true },
    environment: { ROARR_LOG: 'true' },
    settings: { journal: { shardCount: 6 } },
    tables: (targets) => {
      const tables = testKit.defaultTables(targets);
      const service = { kind: 'service', pool: testKit.FLEET_NAMES.SERVICE_POOL } as const;
      return {
        ...tables,
        routes: [
          ...tables.routes,
          { name: OPEN_ROUTE, ...service, open: true },
          { name: PRIVATE_ROUTE, ...service, workspaces: [WORKSPACE] },
        ],
        workspaces: [
          ...tables.workspaces,
          { name: OTHER_WORKSPACE, ratePerSecond: 100, burst: 100 },
        ],
      };
    },
    keys: { [WORKSPACE]: [KEY, WITHDRAWN_KEY], [OTHER_WORKSPACE]: [OTHER_KEY] },
  });
  await fleetHelpers.untilStandbysReady(fleet);
});

afterAll(() => fleet.dispose());

/** Sends a request without the normalization of path and header fields by HTTP clients. */
function sendRaw(
  path: string,
  fields: readonly string[],
  body: string,
  method = 'POST',
): Promise<number> {
  const { hostname, port } = new URL(fleet.vm(0).url);
  return new Promise((resolve, reject) => {
    const request = http.request({
      hostname,
      port,
      path,
      method,
      agent: false,
      headers: [
        ...['host', hostname, 'connection', 'close', 'content-type', 'application/json'],
        ...['content-length', String(Buffer.byteLength(body)), ...fields],
      ],
    });
    request.once('response', (response) => {
      response.resume();
      response.once('end', () => resolve(response.statusCode ?? 0));
    });
    request.once('error', reject);
    request.end(body);
  });
}

/** Returns all requests that the targets have received, each as JSON. */
async function readTargetRequests(): Promise<readonly string[]> {
  const journals = await Promise.all(fleet.targets.map(({ target }) => target.journal()));
  return journals.flat().map((entry) => JSON.stringify(entry));
}

function kindOf(response: testKit.CallerResponse): string {
  return testKit.refusalOf(response).kind;
}

describe('a request runs only for the workspace of its key', () => {
  test('a program of another workspace cannot be read, called or ended', async () => {
    const runner = await testKit.ProgramRunner.open(caller, () => fleet.vm(0));
    await runner.turn('a deposit for a lens');
    const path = `/v1/programs/${runner.program}`;
    for (const vm of fleet.vms) {
      for (const stranger of [otherCaller, anonymousCaller]) {
        const responses = await Promise.all([
          stranger.send(vm, 'GET', path),
          stranger.send(vm, 'DELETE', path),
          stranger.send(vm, 'GET', `${path}/turns/1`),
          stranger.service(vm, { route: OPEN_ROUTE, program: runner.program, turn: 2 }),
        ]);
        expect(responses.map(kindOf)).toEqual(responses.map(() => 'program-unknown'));
        const chat = await stranger.chat(vm, { program: runner.program, turn: 2, text: 'mine' });
        expect(kindOf(chat)).toBe(stranger === otherCaller ? 'program-unknown' : 'key-required');
      }
    }
    await runner.turn('a second question');
    expect(runner.turns).toBe(2);
  });

  test('a child program cannot be opened under a program of another workspace', async () => {
    const parent = await caller.openProgram(fleet.vm(0));
    await expect(otherCaller.openProgram(fleet.vm(1), { parent })).rejects.toThrow(
      'program-unknown',
    );
  });

  test('routes are accessible only to callers that the table permits', async () => {
    const call = (sender: testKit.Caller, route: string) =>
      sender.service(fleet.vm(1), { route, body: '{}' });
    expect((await call(caller, PRIVATE_ROUTE)).status).toBe(200);
    expect(kindOf(await call(otherCaller, PRIVATE_ROUTE))).toBe('route-unknown');
    expect(kindOf(await call(anonymousCaller, PRIVATE_ROUTE))).toBe('key-required');
    expect(kindOf(await call(anonymousCaller, SERVICE_ROUTE))).toBe('key-required');
    expect((await call(anonymousCaller, OPEN_ROUTE)).status).toBe(200);
    const unknown = new testKit.Caller('key-that-was-never-given', MODEL_ROUTE);
    expect(kindOf(await call(unknown, OPEN_ROUTE))).toBe('key-unknown');
  });

  test('manipulated paths and header fields reach no other route', async () => {
    const otherAuthorization = ['authorization', `Bearer ${OTHER_KEY}`];
    const mark = 'mark-of-tricks';
    const paths = [
      `/v1/services/${OPEN_ROUTE}/../${PRIVATE_ROUTE}/${mark}`,
      `/v1/services/${OPEN_ROUTE}/%2e%2e/${PRIVATE_ROUTE}/${mark}`,
      `/v1/services/${OPEN_ROUTE}/..%2f${PRIVATE_ROUTE}/${mark}`,
      `/v1/services/${OPEN_ROUTE}/..\\${PRIVATE_ROUTE}/${mark}`,
      `/v1/services/${OPEN_ROUTE}/./${mark}`,
      `/v1/services/${OPEN_ROUTE}%2f${mark}`,
      `/v1/services/${PRIVATE_ROUTE}/${mark}`,
      `/v1/services//${PRIVATE_ROUTE}/${mark}`,
      `//v1/services/${PRIVATE_ROUTE}/${mark}`,
      `/v1/services/${PRIVATE_ROUTE.toUpperCase()}/${mark}`,
      `/v1/services/${PRIVATE_ROUTE}%00/${mark}`,
      `/v1/./services/${PRIVATE_ROUTE}/${mark}`,
      `/v1/services/../services/${PRIVATE_ROUTE}/${mark}`,
      `http://${OPEN_ROUTE}/v1/services/${PRIVATE_ROUTE}/${mark}`,
    ];
    for (const path of paths) {
      for (const fields of [otherAuthorization, []]) {
        expect([path, await sendRaw(path, fields, '{}')]).toEqual([path, expect.any(Number)]);
      }
    }
    const duplicateAuthorization = [...otherAuthorization, 'authorization', `Bearer ${KEY}`];
    expect(
      await sendRaw(`/v1/services/${PRIVATE_ROUTE}/${mark}`, duplicateAuthorization, '{}'),
    ).not.toBe(200);
    const claimedWorkspace = [
      ...otherAuthorization,
      'limpettack-workspace',
      WORKSPACE,
      'x-workspace',
      WORKSPACE,
    ];
    expect(await sendRaw(`/v1/services/${PRIVATE_ROUTE}/${mark}`, claimedWorkspace, '{}')).not.toBe(
      200,
    );
    const reached = (await readTargetRequests()).filter((text) => text.includes(mark));
    expect(reached).toEqual([]);
  });
});

describe('no target ever receives the key of a caller', () => {
  test('regardless of where in the request the caller puts it', async () => {
    const authorization = ['authorization', `Bearer ${KEY}`];
    const encoded = Buffer.from(KEY).toString('base64');
    const escaped = KEY.replace('o', '\\u006f');
    const chat = (content: string) =>
      `{"model":"${MODEL_ROUTE}","max_tokens":4,"messages":[{"role":"user","content":"${content}"}]}`;
    const requests: readonly (readonly [string, readonly string[], string])[] = [
      ['/x', authorization, '{}'],
      [`/x?key=${KEY}`, authorization, '{}'],
      [`/x?key=${KEY.replaceAll('-', '%2D')}`, authorization, '{}'],
      [`/x?mark=%zz&key=${KEY.replaceAll('-', '%2D')}`, authorization, '{}'],
      [`/${KEY}/x`, authorization, '{}'],
      ['/x', authorization, `{"key":"${KEY}"}`],
      ['/x', authorization, `{"key":"${escaped}"}`],
      ['/x', authorization, `key=${KEY.replaceAll('-', '%2d')}`],
      ['/x', [...authorization, 'x-api-key', KEY], '{}'],
      ['/x', [...authorization, 'x-api-key', KEY.replaceAll('-', '%2d')], '{}'],
      ['/x', [...authorization, 'cookie', `key=${KEY}`], '{}'],
      ['/x', [...authorization, 'proxy-authorization', `Bearer ${KEY}`], '{}'],
      ['/x', [...authorization, 'x-basic', encoded], '{}'],
      ['/x', [...authorization, 'idempotency-key', KEY], '{}'],
      ['/x', [...authorization, 'limpettack-note', KEY], '{}'],
      ['/x', [...authorization, 'connection', 'authorization, close'], '{}'],
      ['/x', [...authorization, ...authorization], '{}'],
      ['/x', ['authorization', `bearer  ${KEY}`], '{}'],
      ['/x', ['authorization', `Basic ${encoded}`], '{}'],
    ];
    for (const [path, fields, body] of requests) {
      await sendRaw(`/v1/services/${SERVICE_ROUTE}${path}`, fields, body);
      await sendRaw(`/v1/services/${OPEN_ROUTE}${path}`, fields, body);
    }
    const chats = [chat('plain'), chat(KEY), chat(escaped), chat('x').replace('user', escaped)];
    for (const body of chats) await sendRaw('/v1/chat/completions', authorization, body);
    await sendRaw('/v1/programs', authorization, `{"route":"${MODEL_ROUTE}","note":"${KEY}"}`);
    const texts = await readTargetRequests();
    expect(texts.length).toBeGreaterThan(0);
    const leaks = texts.filter((text) =>
      [KEY, encoded, OTHER_KEY].some((form) => decodeEscapes(text).includes(form)),
    );
    expect(leaks).toEqual([]);
  });

  test('and no VM writes it to its log', () => {
    fleet.vms.forEach((vm) => {
      expect(vm.process.output.length).toBeGreaterThan(0);
      [KEY, OTHER_KEY, WITHDRAWN_KEY].forEach((key) => {
        expect(decodeEscapes(vm.process.output)).not.toContain(key);
      });
    });
  });
});

describe('a withdrawn key', () => {
  test('is refused within 5 s on every VM, including one that cannot reach the log', async () => {
    const withdrawn = new testKit.Caller(WITHDRAWN_KEY, MODEL_ROUTE);
    const streams = fleet.vms.map((vm) => openStream(withdrawn, vm));
    await Promise.all(streams.map((stream) => stream.started));
    await fleet.vm(2).platformProxy.cut();
    await fleet.withdrawKey(WITHDRAWN_KEY);
    const withdrawnAt = time.now();
    const refusals = fleet.vms.map((vm) =>
      testKit.waitFor(
        async () =>
          (await withdrawn.service(vm, { route: SERVICE_ROUTE, body: '{}' })).status === 401,
        { what: `${vm.name} to refuse the key`, timeoutMs: WITHDRAWAL_TIMEOUT_MS },
      ),
    );
    await Promise.all([...refusals, ...streams.map((stream) => stream.ended)]);
    expect(time.now() - withdrawnAt).toBeLessThanOrEqual(WITHDRAWAL_TIMEOUT_MS);
    const received = await Promise.all(streams.map((stream) => stream.ended));
    received.forEach((count) => expect(count).toBeLessThan(LONG_RESPONSE_TOKENS));
    const otherResponses = await Promise.all(
      fleet.vms.map((vm) => caller.service(vm, { route: SERVICE_ROUTE, body: '{}' })),
    );
    expect(otherResponses.map((response) => response.status)).toEqual([200, 200, 200]);
    await fleet.vm(2).platformProxy.restore();
  });
});

/** Starts a long stream. `started` resolves at the first event, `ended` with the event count. */
function openStream(sender: testKit.Caller, vm: testKit.FleetVm) {
  let markStarted = (): void => undefined;
  const started = new Promise<void>((resolve) => {
    markStarted = resolve;
  });
  const read = async (): Promise<number> => {
    let count = 0;
    try {
      for await (const event of sender.stream(vm, {
        text: 'a long answer',
        maximumTokens: LONG_RESPONSE_TOKENS,
      })) {
        if (event.data !== '') count += 1;
        markStarted();
      }
    } catch {
      // A stream is interrupted when its key is withdrawn.
    }
    return count;
  };
  return { started, ended: read() };
}

/** Decodes percent escapes and JSON escapes in a text. */
function decodeEscapes(text: string): string {
  return text
    .replaceAll(/%([0-9a-f]{2})/gi, (_, code: string) => String.fromCharCode(parseInt(code, 16)))
    .replaceAll(/\\+u([0-9a-f]{4})/gi, (_, code: string) =>
      String.fromCharCode(parseInt(code, 16)),
    );
}
