import type { PlatformCommand } from '../Types.js';
import * as results from '../results.js';
import * as textTable from '../textTable.js';

/** Lists the digests of the valid keys. */
export const KEY_LIST: PlatformCommand = {
  usage: 'key list',
  description: 'List the digests of the keys in force',
  options: [],
  needs: 'platform',
  run: async (_input, publisher) => {
    const read = await publisher.reader.readToTail();
    if (read.isErr) return results.platformFailed(read.error);
    const keys = [...read.value.keys.values()];
    const rows = keys.map((key) => [key.workspace, key.digest, key.label]);
    const text = textTable.textTable([['WORKSPACE', 'DIGEST', 'LABEL'], ...rows]);
    return results.succeeded(text, { version: read.value.version, keys });
  },
};
