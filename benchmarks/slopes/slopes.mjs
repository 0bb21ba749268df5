/**
 * Measures how the costs of the system grow and prints one table of slopes. Arguments select
 * measurements by name; without arguments all of them run.
 */
import * as admissions from './admissions.mjs';
import * as idle from './idle.mjs';
import * as memory from './memory.mjs';
import * as slopeTable from './SlopeTable.mjs';
import * as takeover from './takeover.mjs';
import * as work from './work.mjs';

const MEASUREMENTS = {
  fleet: idle.measureFleetSizes,
  shards: idle.measureShards,
  probes: idle.measureProbes,
  targets: idle.measureTargets,
  memory: memory.measurePrograms,
  workspaces: memory.measureWorkspaces,
  turns: work.measureTurns,
  tokens: work.measureTokens,
  appends: work.measureAppends,
  admissions: admissions.measureAdmissions,
  takeover: takeover.measureTakeovers,
};

// Each child process of a fleet adds an exit listener to this process, which ends the child.
process.setMaxListeners(0);

const names = process.argv.slice(2);
const table = new slopeTable.SlopeTable();
for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  if (names.length > 0 && !names.includes(name)) continue;
  await measure(table).catch((error) => table.fail(name, error));
}
table.print();
process.exit(table.failures.length === 0 ? 0 : 1);
