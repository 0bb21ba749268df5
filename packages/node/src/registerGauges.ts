import type * as entry from '@limpettack/entry';
import type * as programs from '@limpettack/programs';
import * as ownedShards from './ownedShards.js';
import type { ProgramJournal, VmContext } from './VmContext.js';

/** Registers the gauges whose values are read when the metrics are collected. */
export function registerGauges(
  context: VmContext,
  shards: ProgramJournal,
  calls: programs.HomeCalls,
  server: entry.EntryServer,
): void {
  const { metrics, network, configuration } = context;
  const gauges: readonly [string, string, () => number][] = [
    ['limpettack_open_requests', 'Requests of callers being answered.', () => server.openCount],
    ['limpettack_running_calls', 'Calls that this home runs.', () => calls.runningCount],
    ['limpettack_owned_shards', 'Shards owned here.', () => ownedShards.ownedShards(shards).length],
    ['limpettack_programs', 'Programs held here.', () => countPrograms(shards)],
    ['limpettack_peer_links', 'Links to peers.', () => network.linkCount],
    ['limpettack_log_available', 'Whether the log answers.', () => Number(shards.isLogAvailable())],
    [
      'limpettack_configuration_version',
      'Version in force here.',
      () => configuration.current().version,
    ],
  ];
  gauges.forEach(([name, help, read]) => metrics.gauge(name, help, read));
}

function countPrograms(shards: ProgramJournal): number {
  return ownedShards
    .ownedShards(shards)
    .reduce((total, owned) => total + owned.state.programs.size, 0);
}
