import type { PlatformCommand } from '../Types.js';
import * as diffTables from '../diffTables.js';
import * as results from '../results.js';
import * as tablesFile from '../tablesFile.js';

/** Compares a file of tables with the current tables. */
export const CONFIG_DIFF: PlatformCommand = {
  usage: 'config diff <file>',
  description: 'Compare a file of tables with those in force',
  options: [],
  needs: 'platform',
  run: async ({ positionals }, publisher) => {
    const file = await tablesFile.readTablesFile(positionals[0] ?? '');
    if (file.isErr) return file.error;
    const read = await publisher.reader.readToTail();
    if (read.isErr) return results.platformFailed(read.error);
    const differences = diffTables.diffTables(tablesFile.tablesOf(read.value), file.value.tables);
    const { version } = read.value;
    return results.succeeded(diffTables.formatDifferences(differences), { version, differences });
  },
};
