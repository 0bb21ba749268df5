import type * as configuration from '@limpettack/configuration';
import * as trueMyth from 'true-myth';
import type { CommandInput, CommandResult } from './Types.js';
import * as exitCodes from './ExitCodes.js';
import * as results from './results.js';

const { CONFLICT } = exitCodes.EXIT_CODES;

/** Maximum attempts to publish a change that does not depend on others, in case of conflicts. */
const MAXIMUM_ATTEMPTS = 10;

/** A change to publish. */
export interface Publication {
  readonly change: configuration.ConfigurationChange;
  /** Tells the operator how to determine the outcome if the edit is not confirmed. */
  readonly advice: string;
}

/** Publishes a change based on a version. Returns the new version, or a failed command result. */
export async function publishOnVersion(
  basedOn: number,
  publication: Publication,
  input: CommandInput,
  publisher: configuration.ConfigurationPublisher,
): Promise<trueMyth.Result<number, CommandResult>> {
  const id = input.options.id ?? input.createId();
  const { change, advice } = publication;
  const published = await publisher.publish({ id, basedOn, author: input.author, change });
  if (published.isErr) {
    const failure = results.publishFailed(published.error, id, advice);
    return trueMyth.Result.err(failure);
  }
  const outcome = published.value;
  if (outcome.kind === 'applied') return trueMyth.Result.ok(outcome.version);
  if (outcome.kind === 'invalid') return trueMyth.Result.err(results.invalid(outcome.problems));
  return trueMyth.Result.err(results.conflict(outcome, basedOn));
}

/**
 * Publishes a change that is correct independently of concurrent edits, such as the withdrawal of a
 * key. After a conflict, publishes it again based on the newest version.
 */
export async function publishOnNewestVersion(
  publication: Publication,
  input: CommandInput,
  publisher: configuration.ConfigurationPublisher,
): Promise<trueMyth.Result<number, CommandResult>> {
  let lastConflict: CommandResult | undefined;
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    const read = await publisher.reader.readToTail();
    if (read.isErr) return trueMyth.Result.err(results.platformFailed(read.error));
    const published = await publishOnVersion(read.value.version, publication, input, publisher);
    const isConflict = published.isErr && published.error.exitCode === CONFLICT;
    if (!isConflict) return published;
    lastConflict = published.error;
  }
  return trueMyth.Result.err(lastConflict ?? results.failed(CONFLICT, 'Other edits came first.'));
}
