import type * as settings from '@limpettack/settings';
import * as cac from 'cac';
import type { Command, CommandResult, ExitCode } from './Types.js';
import * as commandOptions from './CommandOptions.js';
import * as commands from './commands/COMMANDS.js';
import * as exitCodes from './ExitCodes.js';
import * as results from './results.js';
import * as runCommand from './runCommand.js';

const { EXIT_CODES } = exitCodes;

/** The output streams of a command line. */
export interface CommandLineOutput {
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** Parses the arguments, runs the command and prints its result. Returns the exit code. */
export async function runCommandLine(
  argumentList: readonly string[],
  environment: settings.Environment,
  output: CommandLineOutput,
): Promise<ExitCode> {
  const isJson = argumentList.includes('--json');
  const result = await parseAndRun(argumentList, environment);
  if (result === undefined) return EXIT_CODES.OK;
  const isOk = result.exitCode === EXIT_CODES.OK;
  if (isJson) output.write(`${JSON.stringify(result.data, undefined, 2)}\n`);
  else (isOk ? output.write : output.writeError)(`${result.text.trimEnd()}\n`);
  return result.exitCode;
}

async function parseAndRun(
  argumentList: readonly string[],
  environment: settings.Environment,
): Promise<CommandResult | undefined> {
  let result: CommandResult | undefined;
  const run = async (command: Command, values: readonly unknown[]): Promise<void> => {
    result = await checkAndRun(command, values, environment);
  };
  const commandLine = createCommandLine(run);
  try {
    const joined = joinCommandWords(argumentList);
    const { options } = commandLine.parse(['node', 'limpettackctl', ...joined], { run: false });
    if (options.help) return undefined;
    if (commandLine.matchedCommand === undefined) return usageError('There is no such command.');
    await commandLine.runMatchedCommand();
  } catch (error) {
    // The parser throws when the command line is wrong.
    return usageError((error as Error).message);
  }
  return result;
}

function createCommandLine(
  run: (command: Command, values: readonly unknown[]) => Promise<void>,
): cac.CAC {
  const commandLine = cac.cac('limpettackctl');
  commands.COMMANDS.forEach((command) => {
    const parsed = commandLine.command(command.usage, command.description);
    [...command.options, ...commandOptions.COMMON_OPTIONS].forEach(([form, meaning]) => {
      parsed.option(form, meaning);
    });
    parsed.action((...values: unknown[]) => run(command, values));
  });
  commandLine.help();
  return commandLine;
}

async function checkAndRun(
  command: Command,
  values: readonly unknown[],
  environment: settings.Environment,
): Promise<CommandResult> {
  const options = commandOptions.COMMAND_OPTIONS.safeParse(values.at(-1));
  if (!options.success) {
    const { path, message } = options.error.issues[0] ?? { path: [], message: '' };
    return usageError(`${path.join('.')}: ${message}`);
  }
  return runCommand.runCommand(command, values.slice(0, -1).map(String), options.data, environment);
}

/** Joins a command's name of two words into one argument, as the parser matches only one. */
function joinCommandWords(argumentList: readonly string[]): readonly string[] {
  const [first = '', second = '', ...rest] = argumentList;
  const name = `${first} ${second}`;
  const isKnown = commands.COMMANDS.some(
    (command) => command.usage === name || command.usage.startsWith(`${name} <`),
  );
  return isKnown ? [name, ...rest] : argumentList;
}

function usageError(message: string): CommandResult {
  return results.failed(EXIT_CODES.USAGE, `${message} See limpettackctl --help.`);
}
