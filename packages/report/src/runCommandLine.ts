import * as cac from 'cac';
import * as zod from 'zod';
import * as exitCodes from './ExitCodes.js';
import * as runBurn from './runBurn.js';
import * as runCollect from './runCollect.js';

const { EXIT_CODES } = exitCodes;

const DEFAULT_INTERVAL_MS = 10_000;

const DEFAULT_BURN_DURATION_MS = 60_000;

const DURATION_MS = zod.coerce.number().int().min(1);

const URLS = zod
  .string()
  .default('')
  .transform((text) => text.split(',').filter((url) => url !== ''))
  .pipe(zod.array(zod.url({ protocol: /^https?$/ })));

const BURN_OPTIONS = zod
  .object({
    samples: zod.string().optional(),
    operators: URLS,
    intervalMs: DURATION_MS.default(DEFAULT_INTERVAL_MS),
    forMs: DURATION_MS.default(DEFAULT_BURN_DURATION_MS),
    html: zod.string().optional(),
    json: zod.boolean().default(false),
    check: zod.boolean().default(false),
  })
  .refine(({ samples, operators }) => (samples === undefined) !== (operators.length === 0), {
    message: 'Give one of --samples and --operators.',
  });

const COLLECT_OPTIONS = zod.object({
  out: zod.string(),
  operators: URLS.refine((urls) => urls.length > 0, { message: 'Give --operators.' }),
  intervalMs: DURATION_MS.default(DEFAULT_INTERVAL_MS),
  forMs: DURATION_MS.optional(),
});

/** Parses the arguments and runs the command. */
export async function runCommandLine(
  argumentList: readonly string[],
  signal: AbortSignal,
): Promise<runBurn.RunResult> {
  const commandLine = createCommandLine(signal);
  try {
    const { options } = commandLine.parse(['node', 'limpettack-report', ...argumentList], {
      run: false,
    });
    if (options.help) return { exitCode: EXIT_CODES.OK };
    if (commandLine.matchedCommand === undefined) return usageError('There is no such command.');
    return (await commandLine.runMatchedCommand()) as runBurn.RunResult;
  } catch (error) {
    // The parser throws when the command line is invalid.
    return usageError((error as Error).message);
  }
}

function createCommandLine(signal: AbortSignal): cac.CAC {
  const commandLine = cac.cac('limpettack-report');
  commandLine
    .command('burn <objectives>', 'Report how fast error budgets are used up')
    .option('--samples <file>', 'samples that collect has recorded')
    .option('--operators <urls>', "VMs' operators' ports to read now, separated by commas")
    .option('--interval-ms <span>', 'time between two readings')
    .option('--for-ms <span>', 'how long to read')
    .option('--html <file>', 'write a page with plots')
    .option('--json', 'print JSON')
    .option('--check', 'exit with 1 when an error budget is used up')
    .action((objectives: string, options: unknown) => burn(objectives, options, signal));
  commandLine
    .command('collect', "Record the VMs' metrics as JSON lines")
    .option('--out <file>', 'file to add the samples to')
    .option('--operators <urls>', "VMs' operators' ports, separated by commas")
    .option('--interval-ms <span>', 'time between two readings')
    .option('--for-ms <span>', 'how long to collect; until SIGTERM when left out')
    .action((options: unknown) => collect(options, signal));
  commandLine.help();
  return commandLine;
}

async function burn(
  objectives: string,
  values: unknown,
  signal: AbortSignal,
): Promise<runBurn.RunResult> {
  const options = BURN_OPTIONS.safeParse(values);
  if (!options.success) return usageError(zod.prettifyError(options.error));
  const { operators, forMs, ...rest } = options.data;
  return runBurn.runBurn({ ...rest, objectives, vms: operators, spanMs: forMs }, signal);
}

async function collect(values: unknown, signal: AbortSignal): Promise<runBurn.RunResult> {
  const options = COLLECT_OPTIONS.safeParse(values);
  if (!options.success) return usageError(zod.prettifyError(options.error));
  const { operators, forMs, ...rest } = options.data;
  const span = forMs === undefined ? {} : { spanMs: forMs };
  return runCollect.runCollect({ ...rest, vms: operators, ...span }, signal);
}

function usageError(message: string): runBurn.RunResult {
  return { exitCode: EXIT_CODES.USAGE, error: `${message}\nSee limpettack-report --help.` };
}
