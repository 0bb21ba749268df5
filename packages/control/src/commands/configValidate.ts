import type { LocalCommand } from '../Types.js';
import * as results from '../results.js';
import * as tablesFile from '../tablesFile.js';

/** Validates a file of tables without access to the platform. */
export const CONFIG_VALIDATE: LocalCommand = {
  usage: 'config validate <file>',
  description: 'Check a file of tables',
  options: [],
  needs: 'nothing',
  run: async ({ positionals }) => {
    const file = await tablesFile.readTablesFile(positionals[0] ?? '');
    if (file.isErr) return file.error;
    const { routes, pools, workspaces } = file.value.tables;
    return results.succeeded(
      `The file is valid: ${routes.length} routes, ${pools.length} pools, ${workspaces.length} workspaces.`,
      { routes: routes.length, pools: pools.length, workspaces: workspaces.length },
    );
  },
};
