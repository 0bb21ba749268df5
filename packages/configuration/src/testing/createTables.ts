import type { ConfigurationChange, ConfigurationEdit, Tables } from '../Types.js';
import * as schemas from '../schemas.js';

/** Creates small tables that pass the checks. */
export function createTables(): Tables {
  return schemas.TABLES.parse({
    routes: [
      { name: 'lens-desk', kind: 'model', pool: 'agents', workspaces: ['andes'] },
      { name: 'info', kind: 'model', pool: 'agents', open: true },
    ],
    pools: [
      {
        name: 'agents',
        kind: 'model',
        targets: [{ name: 'runner-1', url: 'http://127.0.0.1:9', failureDomain: 'cumbaya' }],
      },
    ],
    workspaces: [
      { name: 'andes', ratePerSecond: 5, burst: 10 },
      { name: 'costa', ratePerSecond: 5, burst: 10 },
    ],
  });
}

/** Creates an edit with the author `tester`. */
export function createEdit(
  basedOn: number,
  change: ConfigurationChange,
  id = `edit-${basedOn}`,
): ConfigurationEdit {
  return { kind: schemas.RECORD_KINDS.EDIT, id, basedOn, author: 'tester', change };
}

/** Creates a change that replaces all tables by the small tables. */
export function createTablesChange(): ConfigurationChange {
  return { kind: schemas.CHANGE_KINDS.REPLACE_TABLES, tables: createTables() };
}
