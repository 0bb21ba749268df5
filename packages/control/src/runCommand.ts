import * as os from 'node:os';
import * as clock from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as platformClient from '@limpettack/platform-client';
import * as settings from '@limpettack/settings';
import * as ulid from 'ulid';
import type {
  Command,
  CommandInput,
  CommandOptions,
  CommandResult,
  OperatorsCommand,
  PlatformCommand,
} from './Types.js';
import * as commandOptions from './CommandOptions.js';
import * as exitCodes from './ExitCodes.js';
import * as httpOperatorsClient from './HttpOperatorsClient.js';
import * as results from './results.js';

const { EXIT_CODES } = exitCodes;
const { ENVIRONMENT_NAMES } = commandOptions;

/** Timeout of a single request to the platform, in milliseconds. */
const REQUEST_TIMEOUT_MS = 2_000;

/** Runs a command with the platform or VM client that it needs. */
export async function runCommand(
  command: Command,
  positionals: readonly string[],
  options: CommandOptions,
  environment: settings.Environment,
): Promise<CommandResult> {
  const input = {
    positionals,
    options,
    author: options.author ?? os.userInfo().username,
    createId: () => ulid.ulid(),
  };
  if (command.needs === 'platform') return runOnPlatform(command, input, environment);
  if (command.needs === 'operators') return runOnVm(command, input, environment);
  return command.run(input);
}

async function runOnPlatform(
  command: PlatformCommand,
  input: CommandInput,
  environment: settings.Environment,
): Promise<CommandResult> {
  const baseUrl = input.options.platform ?? environment[ENVIRONMENT_NAMES.platform];
  if (!isUrl(baseUrl)) return missingOption('--platform', ENVIRONMENT_NAMES.platform);
  const { timeoutMs } = input.options;
  const systemClock = new clock.SystemClock();
  const requestTimeoutMs = Math.min(REQUEST_TIMEOUT_MS, timeoutMs);
  const log = new platformClient.HttpLogClient(systemClock, { baseUrl, requestTimeoutMs });
  const publisher = new configuration.ConfigurationPublisher({
    log,
    stream: configuration.CONFIGURATION_STREAM,
    clock: systemClock,
    timeoutMs,
  });
  try {
    return await command.run(input, publisher);
  } finally {
    await log.dispose();
  }
}

async function runOnVm(
  command: OperatorsCommand,
  input: CommandInput,
  environment: settings.Environment,
): Promise<CommandResult> {
  const url = input.options.operators ?? environment[ENVIRONMENT_NAMES.operators];
  if (!isUrl(url)) return missingOption('--operators', ENVIRONMENT_NAMES.operators);
  const file = input.options.tokenFile ?? environment[ENVIRONMENT_NAMES.tokenFile];
  if (file === undefined) return missingOption('--token-file', ENVIRONMENT_NAMES.tokenFile);
  const token = await settings.readSecret({ file });
  if (token.isErr) return results.failed(EXIT_CODES.USAGE, token.error.message);
  const { timeoutMs } = input.options;
  const client = new httpOperatorsClient.HttpOperatorsClient({
    url,
    token: token.value,
    timeoutMs,
  });
  return command.run(input, client);
}

function isUrl(text: string | undefined): text is string {
  return text !== undefined && URL.canParse(text);
}

function missingOption(option: string, variable: string): CommandResult {
  return results.failed(EXIT_CODES.USAGE, `Give ${option} or set ${variable}.`);
}
