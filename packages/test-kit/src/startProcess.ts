import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';

import * as runningProcess from './RunningProcess.js';

/** Time until a process must have said where it listens, in milliseconds. */
export const DEFAULT_START_TIMEOUT_MS = 10_000;

/** How a process is started. */
export interface ProcessOptions {
  /** The package whose binary is started, such as `stand-ins`. */
  readonly packageName: string;
  /** The file in the package's `dist`, such as `platformMain.js`. */
  readonly main: string;
  readonly arguments?: readonly string[];
  /** Added to the environment of this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Name in messages; the file when left out. */
  readonly name?: string;
  /** Time until the process must have said where it listens, in milliseconds. */
  readonly startTimeoutMs?: number;
}

/**
 * Starts one of the workspace's binaries, built beforehand, and waits until it has printed its
 * listening line. Throws with the captured output when it does not.
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

/** Starts one of the workspace's binaries without waiting for a listening line. */
export function launchProcess(options: ProcessOptions): runningProcess.RunningProcess {
  const main = path.join(packagesDirectory(), options.packageName, 'dist', options.main);
  const child = childProcess.spawn(process.execPath, [main, ...(options.arguments ?? [])], {
    env: { ...environmentWithoutTests(), ...options.environment },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  return new runningProcess.RunningProcess(child, options.name ?? options.main);
}

/** The directory of the packages; this file is in `test-kit/src` or `test-kit/dist`. */
function packagesDirectory(): string {
  return path.resolve(url.fileURLToPath(import.meta.url), '..', '..', '..');
}

/** The environment without what the test runner has added for itself. */
function environmentWithoutTests(): NodeJS.ProcessEnv {
  const environment = { ...process.env };
  delete environment.NODE_OPTIONS;
  delete environment.JEST_WORKER_ID;
  return environment;
}

/** Options of a command line, without the leading dashes; a true value is a flag. */
export type CommandLineOptions = Readonly<Record<string, string | number | boolean>>;

/** Writes options as arguments. */
export function commandLine(options: CommandLineOptions): readonly string[] {
  return Object.entries(options).flatMap(([name, value]) => {
    if (value === false) return [];
    return value === true ? [`--${name}`] : [`--${name}`, String(value)];
  });
}
