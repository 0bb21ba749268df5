import type * as configuration from '@limpettack/configuration';
import * as platformClient from '@limpettack/platform-client';
import type { CommandResult, ExitCode } from './Types.js';
import * as describeChange from './describeChange.js';
import * as exitCodes from './ExitCodes.js';

const { EXIT_CODES } = exitCodes;

/** Creates the result of a command that succeeded. */
export function succeeded(text: string, data: unknown): CommandResult {
  return { exitCode: EXIT_CODES.OK, text, data };
}

/** Creates the result of a command that failed. */
export function failed(exitCode: ExitCode, message: string, details = {}): CommandResult {
  return { exitCode, text: message, data: { error: message, ...details } };
}

/** Creates the result for a configuration that cannot be read. */
export function platformFailed(failure: platformClient.PlatformFailure): CommandResult {
  const { UNAVAILABLE, LOST, RATE_LIMITED } = platformClient.PLATFORM_FAILURES;
  const { kind } = failure;
  const isOutage = kind === UNAVAILABLE || kind === LOST || kind === RATE_LIMITED;
  const exitCode = isOutage ? EXIT_CODES.UNAVAILABLE : EXIT_CODES.FAILED;
  return failed(exitCode, `The configuration cannot be read: ${failure.message}`, { kind });
}

/** Creates the result for an edit without confirmation, with advice on how to find its outcome. */
export function publishFailed(
  failure: configuration.PublishFailure,
  id: string,
  advice: string,
): CommandResult {
  const state = failure.maybeApplied ? `It may have taken effect; ${advice}` : 'It has no effect.';
  const message = `The edit was not confirmed: ${failure.message} ${state}`;
  return failed(EXIT_CODES.UNAVAILABLE, message, { id, maybeApplied: failure.maybeApplied });
}

/** Creates the result for an invalid edit or file. */
export function invalid(problems: readonly string[]): CommandResult {
  return failed(EXIT_CODES.INVALID, problems.join('\n'), { problems });
}

/** Creates the result for an edit that conflicts with earlier ones, and lists these. */
export function conflict(
  outcome: Extract<configuration.PublishOutcome, { kind: 'conflict' }>,
  basedOn: number,
): CommandResult {
  const earlier = outcome.earlier.map(
    (entry) =>
      `  version ${entry.version} by ${entry.edit.author}: ${describeChange.describeChange(entry.edit.change)}`,
  );
  const message = [
    `The edit is based on version ${basedOn}, but version ${outcome.version} is in force:`,
    ...earlier,
    'Nothing was changed. Look at the difference and publish again.',
  ].join('\n');
  return failed(EXIT_CODES.CONFLICT, message, {
    basedOn,
    version: outcome.version,
    earlier: outcome.earlier.map((entry) => ({
      version: entry.version,
      author: entry.edit.author,
      id: entry.edit.id,
      change: entry.edit.change,
    })),
  });
}
