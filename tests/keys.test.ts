import * as http from 'node:http';
import * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';
import * as jestGlobals from '@jest/globals';
import * as fleetViews from './fleetViews.js';

const { afterAll, beforeAll, describe, expect, test } = jestGlobals;

const { KEY, MODEL_ROUTE, SERVICE_ROUTE, WORKSPACE } = testKit.FLEET_NAMES;

const OTHER_WORKSPACE = 'sur';
const OTHER_KEY = 'key-of-sur';
const WITHDRAWN_KEY = 'key-that-is-withdrawn';
const OPEN_ROUTE = 'open-quotes';
const PRIVATE_ROUTE = 'quotes-of-norte';
const WITHDRAWAL_LIMIT_MS = 5_000;
const LONG_ANSWER_TOKENS = 1_500;

const time = new clock.SystemClock();
const caller = new testKit.Caller(KEY, MODEL_ROUTE);
const other = new testKit.Caller(OTHER_KEY, MODEL_ROUTE);
const nobody = new testKit.Caller(undefined, MODEL_ROUTE);
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
  await fleetViews.untilPaired(fleet);
});

afterAll(() => fleet.dispose());

/** Sends a request as it is, without the tidying of paths and fields that clients do. */
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

/** All that the targets have been sent, each request as one text. */
async function targetTexts(): Promise<readonly string[]> {
  const journals = await Promise.all(fleet.targets.map(({ target }) => target.journal()));
  return journals.flat().map((entry) => JSON.stringify(entry));
}

function kindOf(answer: testKit.CallerAnswer): string {
  return testKit.refusalOf(answer).kind;
}

describe('a request runs only for the workspace whose key came with it', () => {
  test('the program of another workspace cannot be seen, called or ended', async () => {
    const runner = await testKit.ProgramRunner.open(caller, () => fleet.vm(0));
    await runner.turn('a deposit for a lens');
    const path = `/v1/programs/${runner.program}`;
    for (const vm of fleet.vms) {
      for (const stranger of [other, nobody]) {
        const answers = await Promise.all([
          stranger.send(vm, 'GET', path),
          stranger.send(vm, 'DELETE', path),
          stranger.send(vm, 'GET', `${path}/turns/1`),
          stranger.service(vm, { route: OPEN_ROUTE, program: runner.program, turn: 2 }),
        ]);
        expect(answers.map(kindOf)).toEqual(answers.map(() => 'program-unknown'));
        const chat = await stranger.chat(vm, { program: runner.program, turn: 2, text: 'mine' });
        expect(kindOf(chat)).toBe(stranger === other ? 'program-unknown' : 'key-required');
      }
    }
    await runner.turn('a second question');
    expect(runner.turns).toBe(2);
  });

  test('a child cannot be opened below the program of another workspace', async () => {
    const parent = await caller.openProgram(fleet.vm(0));
    await expect(other.openProgram(fleet.vm(1), { parent })).rejects.toThrow('program-unknown');
  });

  test('routes are open to those that the table names', async () => {
    const call = (who: testKit.Caller, route: string) =>
      who.service(fleet.vm(1), { route, body: '{}' });
    expect((await call(caller, PRIVATE_ROUTE)).status).toBe(200);
    expect(kindOf(await call(other, PRIVATE_ROUTE))).toBe('route-unknown');
    expect(kindOf(await call(nobody, PRIVATE_ROUTE))).toBe('key-required');
    expect(kindOf(await call(nobody, SERVICE_ROUTE))).toBe('key-required');
    expect((await call(nobody, OPEN_ROUTE)).status).toBe(200);
    const unknown = new testKit.Caller('key-that-was-never-given', MODEL_ROUTE);
    expect(kindOf(await call(unknown, OPEN_ROUTE))).toBe('key-unknown');
  });

  test('tricks with paths and fields reach no other route', async () => {
    const theirs = ['authorization', `Bearer ${OTHER_KEY}`];
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
      for (const fields of [theirs, []]) {
        expect([path, await sendRaw(path, fields, '{}')]).toEqual([path, expect.any(Number)]);
      }
    }
    const twice = [...theirs, 'authorization', `Bearer ${KEY}`];
    expect(await sendRaw(`/v1/services/${PRIVATE_ROUTE}/${mark}`, twice, '{}')).not.toBe(200);
    const named = [...theirs, 'limpettack-workspace', WORKSPACE, 'x-workspace', WORKSPACE];
    expect(await sendRaw(`/v1/services/${PRIVATE_ROUTE}/${mark}`, named, '{}')).not.toBe(200);
    const reached = (await targetTexts()).filter((text) => text.includes(mark));
    expect(reached).toEqual([]);
  });
});

describe('no target ever sees the key of a caller', () => {
  test('wherever a caller puts it', async () => {
    const mine = ['authorization', `Bearer ${KEY}`];
    const encoded = Buffer.from(KEY).toString('base64');
    const escaped = KEY.replace('o', '\\u006f');
    const chat = (content: string) =>
      `{"model":"${MODEL_ROUTE}","max_tokens":4,"messages":[{"role":"user","content":"${content}"}]}`;
    const requests: readonly (readonly [string, readonly string[], string])[] = [
      ['/x', mine, '{}'],
      [`/x?key=${KEY}`, mine, '{}'],
      [`/x?key=${KEY.replaceAll('-', '%2D')}`, mine, '{}'],
      [`/x?mark=%zz&key=${KEY.replaceAll('-', '%2D')}`, mine, '{}'],
      [`/${KEY}/x`, mine, '{}'],
      ['/x', mine, `{"key":"${KEY}"}`],
      ['/x', mine, `{"key":"${escaped}"}`],
      ['/x', mine, `key=${KEY.replaceAll('-', '%2d')}`],
      ['/x', [...mine, 'x-api-key', KEY], '{}'],
      ['/x', [...mine, 'x-api-key', KEY.replaceAll('-', '%2d')], '{}'],
      ['/x', [...mine, 'cookie', `key=${KEY}`], '{}'],
      ['/x', [...mine, 'proxy-authorization', `Bearer ${KEY}`], '{}'],
      ['/x', [...mine, 'x-basic', encoded], '{}'],
      ['/x', [...mine, 'idempotency-key', KEY], '{}'],
      ['/x', [...mine, 'limpettack-note', KEY], '{}'],
      ['/x', [...mine, 'connection', 'authorization, close'], '{}'],
      ['/x', [...mine, ...mine], '{}'],
      ['/x', ['authorization', `bearer  ${KEY}`], '{}'],
      ['/x', ['authorization', `Basic ${encoded}`], '{}'],
    ];
    for (const [path, fields, body] of requests) {
      await sendRaw(`/v1/services/${SERVICE_ROUTE}${path}`, fields, body);
      await sendRaw(`/v1/services/${OPEN_ROUTE}${path}`, fields, body);
    }
    const chats = [chat('plain'), chat(KEY), chat(escaped), chat('x').replace('user', escaped)];
    for (const body of chats) await sendRaw('/v1/chat/completions', mine, body);
    await sendRaw('/v1/programs', mine, `{"route":"${MODEL_ROUTE}","note":"${KEY}"}`);
    const texts = await targetTexts();
    expect(texts.length).toBeGreaterThan(0);
    const leaks = texts.filter((text) =>
      [KEY, encoded, OTHER_KEY].some((form) => decoded(text).includes(form)),
    );
    expect(leaks).toEqual([]);
  });

  test('and no VM writes it to its log', () => {
    fleet.vms.forEach((vm) => {
      expect(vm.process.output.length).toBeGreaterThan(0);
      [KEY, OTHER_KEY, WITHDRAWN_KEY].forEach((key) => {
        expect(decoded(vm.process.output)).not.toContain(key);
      });
    });
  });
});

describe('a withdrawn key', () => {
  test('stops within 5 s on every VM, one cut off from the log included', async () => {
    const withdrawn = new testKit.Caller(WITHDRAWN_KEY, MODEL_ROUTE);
    const streams = fleet.vms.map((vm) => openStream(withdrawn, vm));
    await Promise.all(streams.map((stream) => stream.begun));
    await fleet.vm(2).platformProxy.cut();
    await fleet.withdrawKey(WITHDRAWN_KEY);
    const withdrawnAt = time.now();
    const refusals = fleet.vms.map((vm) =>
      testKit.waitFor(
        async () =>
          (await withdrawn.service(vm, { route: SERVICE_ROUTE, body: '{}' })).status === 401,
        { what: `${vm.name} to refuse the key`, timeoutMs: WITHDRAWAL_LIMIT_MS },
      ),
    );
    await Promise.all([...refusals, ...streams.map((stream) => stream.ended)]);
    expect(time.now() - withdrawnAt).toBeLessThanOrEqual(WITHDRAWAL_LIMIT_MS);
    const received = await Promise.all(streams.map((stream) => stream.ended));
    received.forEach((count) => expect(count).toBeLessThan(LONG_ANSWER_TOKENS));
    const others = await Promise.all(
      fleet.vms.map((vm) => caller.service(vm, { route: SERVICE_ROUTE, body: '{}' })),
    );
    expect(others.map((answer) => answer.status)).toEqual([200, 200, 200]);
    await fleet.vm(2).platformProxy.restore();
  });
});

/** A long streamed answer: when it has begun, and how many events came until its end. */
function openStream(who: testKit.Caller, vm: testKit.FleetVm) {
  let begin = (): void => undefined;
  const begun = new Promise<void>((resolve) => {
    begin = resolve;
  });
  const read = async (): Promise<number> => {
    let count = 0;
    try {
      for await (const event of who.stream(vm, {
        text: 'a long answer',
        maximumTokens: LONG_ANSWER_TOKENS,
      })) {
        if (event.data !== '') count += 1;
        begin();
      }
    } catch {
      // A stream whose key is withdrawn breaks off.
    }
    return count;
  };
  return { begun, ended: read() };
}

/** A text with its percent and JSON escapes decoded. */
function decoded(text: string): string {
  return text
    .replaceAll(/%([0-9a-f]{2})/gi, (_, code: string) => String.fromCharCode(parseInt(code, 16)))
    .replaceAll(/\\+u([0-9a-f]{4})/gi, (_, code: string) =>
      String.fromCharCode(parseInt(code, 16)),
    );
}
