import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as jestGlobals from '@jest/globals';
import * as zod from 'zod';
import * as loadSettings from './loadSettings.js';
import * as readSecret from './readSecret.js';
import * as readSettingsFile from './readSettingsFile.js';
import * as secret from './SECRET.js';

const { describe, expect, test } = jestGlobals;

const SCHEMA = zod.strictObject({
  name: zod.string(),
  limits: zod.strictObject({ pollWaitMs: zod.int().min(1).default(100) }),
  peers: zod.array(zod.strictObject({ address: zod.string() })).default([]),
  token: secret.SECRET.optional(),
});

function errorLines(text: string): readonly string[] {
  const result = loadSettings.loadSettings(SCHEMA, text);
  return result.isErr ? result.error.map(loadSettings.formatSettingsError) : [];
}

describe('loadSettings', () => {
  test('returns validated settings with their defaults', () => {
    const result = loadSettings.loadSettings(SCHEMA, 'name: a\nlimits: {}\n');
    expect(result.unwrapOr(undefined)).toEqual({
      name: 'a',
      limits: { pollWaitMs: 100 },
      peers: [],
    });
  });

  test('reports the path and line of every error, including unknown names', () => {
    const text = 'name: 7\nlimits:\n  pollWait: 3\n  pollWaitMs: 0\npeers:\n  - adress: x\n';
    const lines = errorLines(text);
    expect(lines).toHaveLength(5);
    expect(lines[0]).toMatch(/^line 1: name: /);
    expect(lines).toContainEqual('line 3: limits.pollWait: There is no setting of this name.');
    expect(lines).toContainEqual(expect.stringMatching(/^line 4: limits.pollWaitMs: /));
    expect(lines).toContainEqual('line 6: peers.0.adress: There is no setting of this name.');
    expect(lines).toContainEqual(expect.stringMatching(/^line 6: peers.0.address: /));
  });

  test('reports the line of a syntax error and of a duplicate name', () => {
    expect(errorLines('name: a\nname: b\n')[0]).toMatch(/^line 2: /);
    expect(errorLines('name: [a\n')[0]).toMatch(/^line /);
  });

  test('reports a file that cannot be read', async () => {
    const result = await readSettingsFile.readSettingsFile('/nowhere/settings.yaml', SCHEMA);
    expect(result.isErr && result.error[0]?.message).toContain('/nowhere/settings.yaml');
  });

  test('reads a secret from the settings, the environment or a file', async () => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'settings-'));
    const file = path.join(folder, 'token');
    await fs.writeFile(file, 'from-file\n');
    const environment = { TOKEN: 'from-environment', EMPTY: '' };
    const read = async (value: Parameters<typeof readSecret.readSecret>[0]) =>
      (await readSecret.readSecret(value, environment)).unwrapOr('none');
    expect(await read('direct')).toBe('direct');
    expect(await read({ environment: 'TOKEN' })).toBe('from-environment');
    expect(await read({ environment: 'EMPTY' })).toBe('none');
    expect(await read({ file })).toBe('from-file');
    await fs.rm(folder, { recursive: true });
  });
});
