import * as fs from 'node:fs/promises';
import * as clock from '@limpettack/clock';
import * as settings from '@limpettack/settings';
import * as trueMyth from 'true-myth';
import type { BurnReport, ExitCode, Sample } from './Types.js';
import * as collectSamples from './collectSamples.js';
import * as createBurnReport from './createBurnReport.js';
import * as exitCodes from './ExitCodes.js';
import * as formatHtml from './formatHtml.js';
import * as formatText from './formatText.js';
import * as objectives from './objectives.js';
import * as readSamples from './readSamples.js';

const { EXIT_CODES } = exitCodes;

/** Validated options of `burn`. */
export interface BurnOptions {
  /** File of objectives. */
  readonly objectives: string;
  /** File of recorded samples; when omitted, the VMs are read. */
  readonly samples?: string | undefined;
  readonly vms: readonly string[];
  readonly intervalMs: clock.Milliseconds;
  /** Duration of the reading, in milliseconds. */
  readonly spanMs: clock.Milliseconds;
  /** File to which the HTML page is written. */
  readonly html?: string | undefined;
  readonly json: boolean;
  /** Whether an exhausted budget makes the command fail. */
  readonly check: boolean;
}

/** Output and exit code of a command. */
export interface RunResult {
  readonly exitCode: ExitCode;
  readonly text?: string;
  /** Error message; set when there is no text. */
  readonly error?: string;
}

/** Creates the report on burn rates, and writes the HTML page when requested. */
export async function runBurn(options: BurnOptions, signal: AbortSignal): Promise<RunResult> {
  const read = await settings.readSettingsFile(options.objectives, objectives.OBJECTIVES);
  if (read.isErr) {
    const error = read.error.map(settings.formatSettingsError).join('\n');
    return { exitCode: EXIT_CODES.INVALID, error };
  }
  const samples = await gatherSamples(options, signal);
  if (samples.isErr) return { exitCode: EXIT_CODES.FAILED, error: samples.error };
  if (samples.value.every(({ error }) => error !== undefined)) {
    return { exitCode: EXIT_CODES.FAILED, error: 'No VM could be read.' };
  }
  const report = createBurnReport.createBurnReport(read.value, samples.value);
  return writeReport(report, options);
}

async function gatherSamples(
  options: BurnOptions,
  signal: AbortSignal,
): Promise<trueMyth.Result<readonly Sample[], string>> {
  if (options.samples !== undefined) {
    const recorded = await readSamples.readSamples(options.samples);
    return recorded.map(({ samples }) => samples);
  }
  const samples: Sample[] = [];
  await collectSamples.collectSamples({
    ...options,
    clock: new clock.SystemClock(),
    signal,
    onSample: (sample) => {
      samples.push(sample);
    },
  });
  return trueMyth.Result.ok(samples);
}

async function writeReport(report: BurnReport, options: BurnOptions): Promise<RunResult> {
  if (options.html !== undefined) {
    const page = formatHtml.formatHtml(report);
    const written = await trueMyth.task.fromPromise(fs.writeFile(options.html, page), String);
    if (written.isErr) return { exitCode: EXIT_CODES.FAILED, error: written.error };
  }
  const isExhausted = report.objectives.some(({ status }) => status === 'exhausted');
  const exitCode = options.check && isExhausted ? EXIT_CODES.FAILED : EXIT_CODES.OK;
  const text = options.json ? JSON.stringify(report, undefined, 2) : formatText.formatText(report);
  return { exitCode, text };
}
