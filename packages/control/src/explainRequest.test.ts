import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as jestGlobals from '@jest/globals';
import * as explainRequest from './explainRequest.js';
import * as runCommandLine from './runCommandLine.js';

const { describe, expect, test } = jestGlobals;

const START = 1_700_000_000_000;

function line(part: string, message: string, atMs: number, fields: object): string {
  const context = { part, logLevel: 30, ...fields };
  return JSON.stringify({ context, message: `${part}: ${message}`, time: START + atMs });
}

/** Logs of three VMs about a turn whose home moved to another VM, and about other requests. */
const LOGS: Readonly<Record<string, readonly string[]>> = {
  'vm-1': [
    line('homes', 'The home of a program did not serve.', 800, {
      request: 'r-1',
      program: 'p-1',
      peer: 'vm-2',
    }),
    line('calls', 'A request has ended.', 1_200, {
      request: 'r-1',
      program: 'p-1',
      target: 'i-1',
      spanMs: 700,
    }),
    line('calls', 'A request has ended.', 1_250, { request: 'r-2', program: 'p-2' }),
    'not a line of the log',
  ],
  'vm-2': [line('node', 'The process stops.', 100, { peer: 'vm-2' })],
  'vm-3': [
    line('homes', 'Programs of a partition were read.', 900, { shard: 3 }),
    line('homes', 'The budget of a program holds no further turn.', 900, { program: 'p-1' }),
    line('targets', 'A target has gone.', 1_150, { target: 'i-1' }),
    line('targets', 'A target has gone.', 1_150, { target: 'i-9' }),
    line('targets', 'A target has gone.', 90_000, { target: 'i-1' }),
  ],
};

function parseAll(): explainRequest.LogLine[] {
  return Object.entries(LOGS).flatMap(([vm, texts]) =>
    texts.flatMap((text) => explainRequest.parseLogLine(text, vm) ?? []),
  );
}

describe('explainRequest', () => {
  test('finds the lines of a request on all VMs, and the lines related to it', () => {
    const { others, own } = explainRequest.explainRequest('r-1', parseAll());
    expect(own.map(({ time, vm }) => [vm, time - START])).toEqual([
      ['vm-1', 800],
      ['vm-1', 1_200],
    ]);
    expect(others.map(({ fields, part, vm }) => [vm, part, fields.target])).toEqual([
      ['vm-2', 'node', undefined],
      ['vm-3', 'homes', undefined],
      ['vm-3', 'targets', 'i-1'],
    ]);
  });

  test('takes the VM from the prefix of a line', () => {
    const parsed = explainRequest.parseLogLine(`12.5 vm-7 ${LOGS['vm-2']![0]}`, 'all');
    expect(parsed).toMatchObject({ vm: 'vm-7', part: 'node' });
  });

  test('reports that no line names the request', () => {
    const explanation = explainRequest.explainRequest('r-9', parseAll());
    expect(explainRequest.formatExplanation(explanation)).toContain('No line of the logs names');
  });
});

describe('limpettackctl explain', () => {
  test('reads a folder with a log for each VM', async () => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'limpettack-logs-'));
    await Promise.all(
      Object.entries(LOGS).map(([vm, lines]) =>
        fs.writeFile(path.join(folder, `${vm}.log`), lines.join('\n')),
      ),
    );
    let written = '';
    const output = {
      write: (text: string) => {
        written += text;
      },
      writeError: () => undefined,
    };
    const found = ['explain', 'r-1', '--logs', folder];
    expect(await runCommandLine.runCommandLine(found, {}, output)).toBe(0);
    expect(written).toContain('The process stops.');
    expect(written).toMatch(/vm-1 +calls +A request has ended\. +request=r-1/);
    const missing = ['explain', 'r-9', '--logs', folder];
    expect(await runCommandLine.runCommandLine(missing, {}, output)).not.toBe(0);
    await fs.rm(folder, { recursive: true });
  });
});
