import * as crypto from 'node:crypto';
import * as configuration from '@limpettack/configuration';
import type { PlatformCommand } from '../Types.js';
import * as publishEdit from '../publishEdit.js';
import * as results from '../results.js';

const KEY_PREFIX = 'lk_';

const KEY_BYTES = 32;

/** Creates a key for a workspace and prints it once. Only its digest is stored. */
export const KEY_GIVE: PlatformCommand = {
  usage: 'key give <workspace>',
  description: 'Give a workspace a new key and print it once',
  options: [['--label <text>', 'what the key is for']],
  needs: 'platform',
  run: async (input, publisher) => {
    const workspace = input.positionals[0] ?? '';
    const key = `${KEY_PREFIX}${crypto.randomBytes(KEY_BYTES).toString('base64url')}`;
    const digest = configuration.keyDigest(key);
    const change = configuration.CONFIGURATION_CHANGE.safeParse({
      kind: configuration.CHANGE_KINDS.GIVE_KEY,
      key: { digest, workspace, label: input.options.label ?? '' },
    });
    if (!change.success) return results.invalid(change.error.issues.map((issue) => issue.message));
    const publication = {
      change: change.data,
      // The key is not printed if the edit is not confirmed, so no caller can use it.
      advice: `withdraw digest ${digest} if \`key list\` shows it, and give another key.`,
    };
    const published = await publishEdit.publishOnNewestVersion(publication, input, publisher);
    if (published.isErr) return published.error;
    return results.succeeded(key, { key, digest, workspace, version: published.value });
  },
};
