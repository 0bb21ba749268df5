import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as streams from 'node:stream/consumers';
import type { LocalCommand } from '../Types.js';
import * as exitCodes from '../ExitCodes.js';
import * as explainRequest from '../explainRequest.js';
import * as results from '../results.js';

/** Shows the path of a request through the fleet, based on the logs of all VMs. */
export const EXPLAIN: LocalCommand = {
  usage: 'explain <request>',
  description: 'Show the path of a request through the VMs, from their logs',
  options: [
    [
      '--logs <path>',
      'a log file named after its VM, or a folder of such files; standard input by default',
    ],
  ],
  needs: 'nothing',
  run: async ({ options, positionals }) => {
    const [request = ''] = positionals;
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

interface LogFile {
  /** Name of the VM, from the name of the file; empty for standard input. */
  readonly vm: string;
  readonly text: string;
}

async function* readLogs(logPath: string | undefined): AsyncGenerator<LogFile> {
  if (logPath === undefined) {
    yield { vm: '', text: await streams.text(process.stdin) };
    return;
  }
  const isFolder = (await fs.stat(logPath)).isDirectory();
  const files = isFolder
    ? (await fs.readdir(logPath)).map((name) => path.join(logPath, name))
    : [logPath];
  for (const file of files.sort()) {
    yield { vm: path.parse(file).name, text: await fs.readFile(file, 'utf8') };
  }
}
