import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as jestGlobals from '@jest/globals';
import type { BurnReport } from './Types.js';
import * as runCommandLine from './runCommandLine.js';

const { afterEach, describe, expect, test } = jestGlobals;

const releases: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(releases.splice(0).map((release) => release()));
});

const OBJECTIVES = `service: quito
objectives:
  - { name: between tokens, kind: latency, metric: between-tokens, thresholdMs: 65, target: 0.95 }
`;

/** Starts an HTTP server with the metrics of a VM whose counters grow with each reading. */
async function startVm(): Promise<http.Server> {
  let readings = 0;
  const server = http.createServer((_request, response) => {
    readings += 1;
    const name = 'limpettack_between_tokens_seconds';
    response.end(`# TYPE ${name} histogram
${name}_bucket{le="0.065",route="a \\"b\\", {c}"} ${readings * 19}
${name}_bucket{le="+Inf",route="a \\"b\\", {c}"} ${readings * 20}
${name}_count{route="a \\"b\\", {c}"} ${readings * 20}
process_start_time_seconds 17
`);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  releases.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return server;
}

describe('limpettack-report', () => {
  test('collects samples of a VM and reports on them', async () => {
    const server = await startVm();
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'report-'));
    releases.push(() => fs.rm(folder, { recursive: true }));
    const inFolder = (name: string): string => path.join(folder, name);
    await fs.writeFile(inFolder('objectives.yaml'), OBJECTIVES);
    const { signal } = new AbortController();
    const run = (...words: string[]) => runCommandLine.runCommandLine(words, signal);
    const url = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const collected = await run(
      ...['collect', '--out', inFolder('samples'), '--operators', `${url},http://127.0.0.1:1`],
      ...['--interval-ms', '10', '--for-ms', '30'],
    );
    expect(collected.exitCode).toBe(0);
    await fs.appendFile(inFolder('samples'), '{"at": 1, "vm');
    const burn = ['burn', inFolder('objectives.yaml')];
    const html = inFolder('burn.html');
    const reported = await run(...burn, '--samples', inFolder('samples'), '--json', '--html', html);
    const report = JSON.parse(reported.text ?? '') as BurnReport;
    expect(report.objectives[0]?.period.burnRate).toBeCloseTo(1);
    expect(report.failedSamples).toBeGreaterThan(0);
    expect(await fs.readFile(html, 'utf8')).toContain('between tokens');
    expect((await run(...burn)).exitCode).toBe(2);
    expect((await run('burn', inFolder('samples'), '--operators', url)).exitCode).toBe(4);
  });
});
