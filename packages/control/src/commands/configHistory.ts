import type * as configuration from '@limpettack/configuration';
import type { PlatformCommand } from '../Types.js';
import * as describeChange from '../describeChange.js';
import * as results from '../results.js';
import * as textTable from '../textTable.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Lists the edits that the log still contains, including those without effect. */
export const CONFIG_HISTORY: PlatformCommand = {
  usage: 'config history',
  description: 'List the edits that the log still has',
  options: [],
  needs: 'platform',
  run: async (_input, publisher) => {
    const read = await publisher.reader.readToTail();
    if (read.isErr) return results.platformFailed(read.error);
    const { history } = publisher.reader;
    const heading = ['OFFSET', 'AGE', 'OUTCOME', 'VERSION', 'AUTHOR', 'CHANGE'];
    const text = textTable.textTable([heading, ...history.map(rowOf)]);
    return results.succeeded(text, { version: read.value.version, history });
  },
};

function rowOf(entry: configuration.HistoryEntry): readonly string[] {
  return [
    String(entry.offset),
    `${Math.round(entry.ageMs / MILLISECONDS_PER_SECOND)} s`,
    entry.outcome,
    String(entry.version),
    entry.edit.author,
    describeChange.describeChange(entry.edit.change),
  ];
}
