import type * as configuration from '@limpettack/configuration';
import * as trueMyth from 'true-myth';
import type { CommandInput, CommandResult } from './Types.js';
import * as exitCodes from './ExitCodes.js';
import * as results from './results.js';

const { CONFLICT } = exitCodes.EXIT_CODES;

/** How often a change that does not depend on others is tried again after a conflict. */
const MAXIMUM_ATTEMPTS = 10;

/** What is published, and how to find out what became of it when no answer comes. */
export interface Publication {
  readonly change: configuration.ConfigurationChange;
  readonly advice: string;
}

/** Publishes a change on a version. Returns the new version, or the result that tells why not. */
export async function publishOn(
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
 * Publishes a change that is right whatever others have changed meanwhile, such as a key's
 * withdrawal, and tries it again on the newest version after a conflict.
 */
export async function publishOnNewest(
  publication: Publication,
  input: CommandInput,
  publisher: configuration.ConfigurationPublisher,
): Promise<trueMyth.Result<number, CommandResult>> {
  let last: CommandResult | undefined;
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    const read = await publisher.reader.readToTail();
    if (read.isErr) return trueMyth.Result.err(results.platformFailed(read.error));
    const published = await publishOn(read.value.version, publication, input, publisher);
    const isConflict = published.isErr && published.error.exitCode === CONFLICT;
    if (!isConflict) return published;
    last = published.error;
  }
  return trueMyth.Result.err(last ?? results.failed(CONFLICT, 'Other edits came first.'));
}
