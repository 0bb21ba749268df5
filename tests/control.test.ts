import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as clock from '@limpettack/clock';
import * as control from '@limpettack/control';
import * as lifetime from '@limpettack/lifetime';
import * as standIns from '@limpettack/stand-ins';
import * as jestGlobals from '@jest/globals';

const { afterEach, beforeEach, describe, expect, test } = jestGlobals;

const TABLES = `routes:
  - { name: lens-desk, kind: model, pool: agents }
pools:
  - name: agents
    kind: model
    targets: [{ name: runner-1, url: "http://127.0.0.1:9", failureDomain: cumbaya }]
workspaces:
  - { name: andes, ratePerSecond: 5, burst: 10 }
`;

let store: lifetime.DisposableStore;
let folder: string;
let environment: Record<string, string>;

beforeEach(async () => {
  store = new lifetime.DisposableStore();
  folder = await fs.mkdtemp(path.join(os.tmpdir(), 'control-'));
  const settings = standIns.PLATFORM_SETTINGS.parse({ port: 0 });
  const platform = new standIns.PlatformServer(new clock.SystemClock(), settings);
  await platform.start();
  store.add(platform);
  environment = { LIMPETTACK_PLATFORM: `http://${platform.address}` };
});

afterEach(async () => {
  await store.dispose();
  await fs.rm(folder, { recursive: true });
});

async function writeFile(name: string, text: string): Promise<string> {
  const file = path.join(folder, name);
  await fs.writeFile(file, text);
  return file;
}

async function run(...commandArguments: string[]) {
  let text = '';
  const write = (chunk: string): void => {
    text += chunk;
  };
  const output = { write, writeError: write };
  const exitCode = await control.runCommandLine(commandArguments, environment, output);
  return { exitCode, text };
}

describe('limpettackctl', () => {
  test('publishes tables and reports the earlier edit to an operator with a conflicting one', async () => {
    const file = await writeFile('tables.yaml', TABLES);
    expect(await run('config', 'validate', file)).toMatchObject({ exitCode: 0 });
    expect((await run('config', 'diff', file)).text).toContain('+ routes lens-desk');
    expect(await run('config', 'publish', file)).toMatchObject({ exitCode: 0 });
    const shown = await run('config', 'show');
    const mine = await writeFile('mine.yaml', shown.text.replace('burst: 10', 'burst: 20'));
    const other = await writeFile('other.yaml', shown.text.replace('burst: 10', 'burst: 30'));
    expect(await run('config', 'publish', other, '--author', 'rosa')).toMatchObject({
      exitCode: 0,
    });
    const lost = await run('config', 'publish', mine);
    expect(lost.exitCode).toBe(control.EXIT_CODES.CONFLICT);
    expect(lost.text).toContain('version 2 by rosa: replace the tables');
    expect((await run('config', 'history')).text.split('\n')).toHaveLength(4);
  });

  test('reports the line of an error and publishes nothing', async () => {
    const file = await writeFile('bad.yaml', TABLES.replace('burst: 10', 'brust: 10'));
    const result = await run('config', 'publish', file);
    expect(result.exitCode).toBe(control.EXIT_CODES.INVALID);
    expect(result.text).toContain('line 8: workspaces.0.brust: There is no setting of this name.');
    expect((await run('config', 'history')).text.split('\n')).toHaveLength(2);
  });

  test('gives, lists and withdraws a key', async () => {
    await run('config', 'publish', await writeFile('tables.yaml', TABLES));
    const given = await run('key', 'give', 'andes', '--label', 'till 4', '--json');
    const { key, digest } = JSON.parse(given.text) as { key: string; digest: string };
    expect(key).toMatch(/^lk_[\w-]{43}$/);
    const listed = (await run('key', 'list')).text;
    expect(listed).toContain(digest);
    expect(listed).not.toContain(key);
    expect(await run('key', 'withdraw', '--key', key)).toMatchObject({ exitCode: 0 });
    expect(await run('key', 'withdraw', '--digest', digest)).toMatchObject({ exitCode: 0 });
    expect((await run('key', 'list')).text).not.toContain(digest);
    expect(await run('key', 'give', 'nowhere')).toMatchObject({
      exitCode: control.EXIT_CODES.INVALID,
    });
  });

  test('sends the token to a VM and reports its refusal', async () => {
    const requests: (string | undefined)[][] = [];
    const server = http.createServer((request, response) => {
      requests.push([request.method, request.url, request.headers.authorization]);
      response.writeHead(request.method === 'GET' ? 200 : 404);
      response.end(
        request.method === 'GET'
          ? JSON.stringify({ calls: [], unreachable: ['vm-3'] })
          : JSON.stringify({ kind: 'program-unknown', message: 'No such program.' }),
      );
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    store.addCallback(() => {
      server.closeAllConnections();
      server.close();
    });
    environment.LIMPETTACK_OPERATORS = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    environment.LIMPETTACK_TOKEN_FILE = await writeFile('token', 'secret\n');
    expect((await run('in-doubt', 'list')).text).toContain('did not answer');
    const ended = await run('program', 'end', 'p-1');
    expect(ended).toEqual({ exitCode: control.EXIT_CODES.FAILED, text: 'No such program.\n' });
    expect(requests).toEqual([
      ['GET', '/v1/operators/in-doubt', 'Bearer secret'],
      ['DELETE', '/v1/operators/programs/p-1', 'Bearer secret'],
    ]);
  });

  test('distinguishes a wrong command line from an unreachable platform', async () => {
    const { USAGE, UNAVAILABLE } = control.EXIT_CODES;
    expect(await run('config', 'burn')).toMatchObject({ exitCode: USAGE });
    expect(await run('config', 'show', '--colour')).toMatchObject({ exitCode: USAGE });
    expect(await run('key', 'withdraw')).toMatchObject({ exitCode: USAGE });
    environment.LIMPETTACK_PLATFORM = 'http://127.0.0.1:1';
    expect(await run('config', 'show')).toMatchObject({ exitCode: UNAVAILABLE });
  });
});
