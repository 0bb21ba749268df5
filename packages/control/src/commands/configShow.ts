import type { PlatformCommand } from '../Types.js';
import * as results from '../results.js';
import * as tablesFile from '../tablesFile.js';

/** Prints the current tables in the form of a file that can be edited and published. */
export const CONFIG_SHOW: PlatformCommand = {
  usage: 'config show',
  description: 'Print the tables in force',
  options: [],
  needs: 'platform',
  run: async (_input, publisher) => {
    const read = await publisher.reader.readToTail();
    if (read.isErr) return results.platformFailed(read.error);
    const { version } = read.value;
    const tables = tablesFile.tablesOf(read.value);
    return results.succeeded(tablesFile.formatTables(read.value), { version, ...tables });
  },
};
