import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';

import * as runningProcess from './RunningProcess.js';

/** Default timeout for a process to print its listening line, in milliseconds. */
export const DEFAULT_START_TIMEOUT_MS = 10_000;

/** Options for starting a process. */
export interface ProcessOptions {
  /** Directory name of the package whose binary is started, such as `stand-ins`. */
  readonly packageName: string;
  /** The file in the package's `dist`, such as `platformMain.js`. */
  readonly main: string;
  readonly arguments?: readonly string[];
  /** Added to the environment of the current process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Name used in messages; defaults to `main`. */
  readonly name?: string;
  /** Timeout for the listening line, in milliseconds; defaults to `DEFAULT_START_TIMEOUT_MS`. */
  readonly startTimeoutMs?: number;
}

/**
 * Starts a binary of the repository, which must be built already, and waits until it prints its
 * listening line. Throws an error with the captured output if it does not.
 */
export async function startProcess(
  options: ProcessOptions,
): Promise<runningProcess.RunningProcess> {
  const running = launchProcess(options);
  try {
    await running.untilListening(options.startTimeoutMs ?? DEFAULT_START_TIMEOUT_MS);
  } catch (error) {
    await running.dispose();
    throw error;
  }
  return running;
}

/** Starts a binary of the repository without waiting for its listening line. */
export function launchProcess(options: ProcessOptions): runningProcess.RunningProcess {
  const main = path.join(packagesDirectory(), options.packageName, 'dist', options.main);
  const child = childProcess.spawn(process.execPath, [main, ...(options.arguments ?? [])], {
    env: { ...environmentWithoutJest(), ...options.environment },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  return new runningProcess.RunningProcess(child, options.name ?? options.main);
}

/** Returns the `packages` directory. This file is in `test-kit/src` or `test-kit/dist`. */
function packagesDirectory(): string {
  return path.resolve(url.fileURLToPath(import.meta.url), '..', '..', '..');
}

/** Returns the current environment without the variables that Jest adds. */
function environmentWithoutJest(): NodeJS.ProcessEnv {
  const environment = { ...process.env };
  delete environment.NODE_OPTIONS;
  delete environment.JEST_WORKER_ID;
  return environment;
}

/** Command-line options by name, without leading dashes. True is a flag; false is left out. */
export type CommandLineOptions = Readonly<Record<string, string | number | boolean>>;

/** Converts options to command-line arguments. */
export function commandLine(options: CommandLineOptions): readonly string[] {
  return Object.entries(options).flatMap(([name, value]) => {
    if (value === false) return [];
    return value === true ? [`--${name}`] : [`--${name}`, String(value)];
  });
}
