import * as fs from 'node:fs/promises';
import * as clock from '@limpettack/clock';
import * as trueMyth from 'true-myth';
import * as collectSamples from './collectSamples.js';
import * as exitCodes from './ExitCodes.js';
import type * as runBurn from './runBurn.js';

/** Validated options of `collect`. */
export interface CollectCommandOptions {
  /** File to which samples are appended. */
  readonly out: string;
  readonly vms: readonly string[];
  readonly intervalMs: clock.Milliseconds;
  /** Duration of the collection, in milliseconds; until SIGTERM when omitted. */
  readonly spanMs?: clock.Milliseconds;
}

/** Appends samples to a file as JSON lines. */
export async function runCollect(
  options: CollectCommandOptions,
  signal: AbortSignal,
): Promise<runBurn.RunResult> {
  const opened = await trueMyth.task.fromPromise(fs.open(options.out, 'a'), String);
  if (opened.isErr) return { exitCode: exitCodes.EXIT_CODES.FAILED, error: opened.error };
  const file = opened.value;
  let count = 0;
  await collectSamples.collectSamples({
    ...options,
    clock: new clock.SystemClock(),
    signal,
    onSample: async (sample) => {
      await file.appendFile(`${JSON.stringify(sample)}\n`);
      count += 1;
    },
  });
  await file.close();
  return { exitCode: exitCodes.EXIT_CODES.OK, text: `Recorded ${count} samples.` };
}
