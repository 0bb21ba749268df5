import * as configuration from '@limpettack/configuration';
import type { CommandOptions, PlatformCommand } from '../Types.js';
import * as exitCodes from '../ExitCodes.js';
import * as publishEdit from '../publishEdit.js';
import * as results from '../results.js';

/** Withdraws a key. All VMs refuse it within seconds, also for connected callers. */
export const KEY_WITHDRAW: PlatformCommand = {
  usage: 'key withdraw',
  description: 'Withdraw a key',
  options: [
    ['--key <key>', 'the key itself'],
    ['--digest <digest>', 'the digest that `key list` shows'],
  ],
  needs: 'platform',
  run: async (input, publisher) => {
    const digest = digestOf(input.options);
    if (digest === undefined) {
      return results.failed(exitCodes.EXIT_CODES.USAGE, 'Give one of --key and --digest.');
    }
    const read = await publisher.reader.readToTail();
    if (read.isErr) return results.platformFailed(read.error);
    if (read.value.withdrawn.has(digest)) {
      const { version } = read.value;
      return results.succeeded(`Key ${digest} was withdrawn before.`, { digest, version });
    }
    const publication = {
      change: { kind: configuration.CHANGE_KINDS.WITHDRAW_KEY, digest },
      advice: 'run the same command again.',
    };
    const published = await publishEdit.publishOnNewestVersion(publication, input, publisher);
    if (published.isErr) return published.error;
    const data = { digest, version: published.value };
    return results.succeeded(`Key ${digest} is withdrawn.`, data);
  },
};

function digestOf({ key, digest }: CommandOptions): string | undefined {
  if ((key === undefined) === (digest === undefined)) return undefined;
  return key === undefined ? digest : configuration.keyDigest(key);
}
