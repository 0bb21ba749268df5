import * as fs from 'node:fs';
import * as readline from 'node:readline';
import * as trueMyth from 'true-myth';
import type { Sample } from './Types.js';
import * as samples from './samples.js';

/** Samples of a file, and the number of lines that could not be parsed. */
export interface RecordedSamples {
  readonly samples: readonly Sample[];
  readonly unreadableLines: number;
}

/** Reads a file of samples. Skips invalid lines, such as one cut off when the collector stopped. */
export async function readSamples(path: string): Promise<trueMyth.Result<RecordedSamples, string>> {
  const read = await trueMyth.task.fromPromise(readLines(path), String);
  return read.map((entries) => ({
    samples: entries.filter((entry) => entry !== undefined),
    unreadableLines: entries.filter((entry) => entry === undefined).length,
  }));
}

async function readLines(path: string): Promise<readonly (Sample | undefined)[]> {
  const entries: (Sample | undefined)[] = [];
  const lines = readline.createInterface({ input: fs.createReadStream(path, 'utf8') });
  for await (const line of lines) {
    if (line !== '') entries.push(parseLine(line));
  }
  return entries;
}

function parseLine(line: string): Sample | undefined {
  const result = trueMyth.result
    .tryOrElse(String, () => JSON.parse(line) as unknown)
    .map((value) => samples.SAMPLE.safeParse(value).data);
  return result.unwrapOr(undefined);
}
