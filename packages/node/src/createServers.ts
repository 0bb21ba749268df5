import * as entry from '@limpettack/entry';
import type * as limits from '@limpettack/limits';
import * as fleetView from './FleetView.js';
import * as operatorsServer from './OperatorsServer.js';
import * as readinessMonitor from './ReadinessMonitor.js';
import * as vmContext from './VmContext.js';
import type { ProgramJournal, VmContext } from './VmContext.js';

/** The servers for callers and operators. */
export interface Servers {
  readonly entry: entry.EntryServer;
  readonly operators: operatorsServer.OperatorsServer;
}

/** Creates the servers for callers and operators; they do not listen yet. */
export function createServers(
  context: VmContext,
  shards: ProgramJournal,
  admission: limits.AdmissionControl,
  isDraining: () => boolean,
): Servers {
  const { store, network, clock, members, configuration, metrics, settings } = context;
  const readiness = store.add(
    new readinessMonitor.ReadinessMonitor(shards, members, configuration, clock),
  );
  const homes = new entry.HomeClient({ network, shards, clock });
  const isReady = (): boolean => readiness.isReady();
  const server = store.add(createEntry(context, homes, admission, isReady, isDraining));
  const operators = store.add(
    new operatorsServer.OperatorsServer({
      ...vmContext.clockAndLogger(clock, 'operators'),
      ...settings.operators,
      reads: context.reads,
      token: context.secrets.operators,
      metrics,
      isReady: () => isReady() && !isDraining(),
      fleet: new fleetView.FleetView({ network, members, shards, configuration, clock }),
      homes,
    }),
  );
  return { entry: server, operators };
}

function createEntry(
  context: VmContext,
  homes: entry.Homes,
  admission: limits.AdmissionControl,
  isReady: () => boolean,
  isDraining: () => boolean,
): entry.EntryServer {
  const { configuration, metrics, clock } = context;
  const { callers } = context.settings;
  const shared = { configuration, homes, limits: callers, metrics, clock };
  const gate = new entry.CallGate({ ...shared, admission });
  return new entry.EntryServer({
    ...vmContext.clockAndLogger(context.clock, 'entry'),
    ...shared,
    reads: context.reads,
    host: callers.host,
    port: callers.port,
    chat: new entry.ChatHandler({ ...shared, gate }),
    services: new entry.ServiceHandler({ ...shared, gate }),
    programs: new entry.ProgramsHandler({ ...shared, gate }),
    isReady,
    isDraining,
  });
}
