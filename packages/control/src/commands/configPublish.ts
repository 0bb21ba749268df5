import type { PlatformCommand } from '../Types.js';
import * as diffTables from '../diffTables.js';
import * as publishEdit from '../publishEdit.js';
import * as results from '../results.js';
import * as tablesFile from '../tablesFile.js';

/**
 * Publishes a file of tables. The edit is based on the version in `--based-on`. Without the option,
 * it is based on the version that the file was created from, or on the current one if that is
 * unknown.
 */
export const CONFIG_PUBLISH: PlatformCommand = {
  usage: 'config publish <file>',
  description: 'Put a file of tables into force',
  options: [
    ['--based-on <version>', 'the version that the file was made from'],
    ['--id <id>', 'id of an earlier attempt whose outcome is not known'],
  ],
  needs: 'platform',
  run: async (input, publisher) => {
    const file = await tablesFile.readTablesFile(input.positionals[0] ?? '');
    if (file.isErr) return file.error;
    const read = await publisher.reader.readToTail();
    if (read.isErr) return results.platformFailed(read.error);
    const { tables, version } = file.value;
    const differences = diffTables.diffTables(tablesFile.tablesOf(read.value), tables);
    if (differences.length === 0) {
      const data = { version: read.value.version, differences };
      return results.succeeded(`Version ${read.value.version} is the same; nothing to do.`, data);
    }
    const basedOn = input.options.basedOn ?? version ?? read.value.version;
    // The id is chosen here, so that the advice for a retry can contain it.
    const id = input.options.id ?? input.createId();
    const publication = {
      change: tablesFile.replaceTables(tables),
      advice: `run the same command with --based-on ${basedOn} --id ${id} to find out.`,
    };
    const attempt = { ...input, options: { ...input.options, id } };
    const published = await publishEdit.publishOnVersion(basedOn, publication, attempt, publisher);
    if (published.isErr) return published.error;
    const text = diffTables.formatDifferences(differences);
    const data = { version: published.value, differences };
    return results.succeeded(`${text}\nVersion ${published.value} is in force.`, data);
  },
};
