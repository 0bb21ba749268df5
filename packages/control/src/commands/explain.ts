import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as streams from 'node:stream/consumers';
import type { LocalCommand } from '../Types.js';
import * as exitCodes from '../ExitCodes.js';
import * as explainRequest from '../explainRequest.js';
import * as results from '../results.js';

/** Tells the way of one request by the logs of all VMs. */
export const EXPLAIN: LocalCommand = {
  usage: 'explain <request>',
  description: 'Tell the way of a request by the logs of the VMs',
  options: [
    ['--logs <path>', 'a log, named for its VM, or a folder of them; standard input if left out'],
  ],
  needs: 'nothing',
  run: async ({ options, words }) => {
    const [request = ''] = words;
    const lines: explainRequest.LogLine[] = [];
    try {
      for await (const { text, vm } of readLogs(options.logs)) {
        text.split('\n').forEach((line) => {
          const parsed = explainRequest.parseLogLine(line, vm);
          if (parsed !== undefined) lines.push(parsed);
        });
      }
    } catch (error) {
      const message = `The logs cannot be read: ${(error as Error).message}`;
      return results.failed(exitCodes.EXIT_CODES.USAGE, message);
    }
    const explanation = explainRequest.explainRequest(request, lines);
    const text = explainRequest.formatExplanation(explanation);
    if (explanation.own.length > 0) return results.succeeded(text, explanation);
    return results.failed(exitCodes.EXIT_CODES.FAILED, text, explanation);
  },
};

interface Log {
  readonly vm: string;
  readonly text: string;
}

async function* readLogs(place: string | undefined): AsyncGenerator<Log> {
  if (place === undefined) {
    yield { vm: '', text: await streams.text(process.stdin) };
    return;
  }
  const isFolder = (await fs.stat(place)).isDirectory();
  const files = isFolder
    ? (await fs.readdir(place)).map((name) => path.join(place, name))
    : [place];
  for (const file of files.sort()) {
    yield { vm: path.parse(file).name, text: await fs.readFile(file, 'utf8') };
  }
}
