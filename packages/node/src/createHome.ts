import type * as journal from '@limpettack/journal';
import * as programs from '@limpettack/programs';
import * as targets from '@limpettack/targets';
import * as targetComponents from './createTargetComponents.js';
import type { TargetComponents } from './createTargetComponents.js';
import * as engineMemory from './EngineMemory.js';
import * as orphanedCallCanceller from './OrphanedCallCanceller.js';
import * as ownedShards from './ownedShards.js';
import * as quarantineExchange from './QuarantineExchange.js';
import * as vmContext from './VmContext.js';
import type { ProgramJournal, VmContext } from './VmContext.js';

/** Retries per call, such as 0.2 for one in five, and the maximum number of retries in a burst. */
const RETRY_BUDGET = { fraction: 0.2, burst: 20 };

/** Creates the home of the programs whose shards this process owns. Returns its call runner. */
export function createHome(
  context: VmContext,
  shards: ProgramJournal,
  components: TargetComponents,
): programs.HomeCalls {
  const { store, network, configuration, metrics } = context;
  const quarantine = store.add(createQuarantine(context, shards));
  const { calls, keyed } = createCalls(context, shards, components, quarantine);
  const memory = store.add(createEngineMemory(context, components));
  const home = store.add(
    new programs.Home({
      ...vmContext.clockAndLogger(context.clock, 'home'),
      shards,
      calls,
      keyed,
      network,
      configuration,
      memory,
    }),
  );
  store.add(home.onProgramEnded(({ route, spanMs }) => metrics.observeProgram(route, spanMs)));
  memory.sweep({
    isLive: (program) => home.isLive(program),
    isOwnedHere: (program) => home.owns(program),
  });
  recoverOwnedShards(context, shards, components, calls, quarantine);
  return calls;
}

function createCalls(
  context: VmContext,
  shards: ProgramJournal,
  components: TargetComponents,
  crashes: programs.CrashRecord,
): { calls: programs.HomeCalls; keyed: programs.KeyedCaller } {
  const { clock, random } = context;
  const { scheduler, client, directory } = components;
  const retries = new targets.RetryBudget(RETRY_BUDGET);
  const shared = { scheduler, client, directory, crashes, retries, clock, random };
  const caller = new programs.ServiceCaller(shared);
  const { network } = context;
  const reports = context.store.add(new programs.OutcomeReports({ shards, network, clock }));
  const keyed = new programs.KeyedCaller({
    ...vmContext.clockAndLogger(context.clock, 'home'),
    shards,
    services: caller,
    client,
    reports,
  });
  const authority = new programs.ShardAuthority(shards);
  const running = new programs.RunningCalls(context.configuration, clock);
  const common = {
    models: new programs.ModelCaller(shared),
    services: new programs.ServiceCallRunner(caller, keyed, authority),
    authority,
    scheduler,
    running,
    clock,
  };
  const reservations = new programs.Reservations(shards);
  const calls = new programs.HomeCalls({
    shards,
    running,
    turns: new programs.ProgramTurns({ ...common, shards, directory, reservations }),
    singleCalls: new programs.SingleCalls({
      ...common,
      shardOf: (callKey) => shards.shardOf(callKey),
    }),
    clock,
  });
  return { calls, keyed };
}

function createQuarantine(
  context: VmContext,
  shards: ProgramJournal,
): quarantineExchange.QuarantineExchange {
  const { network, members, clock, random, store } = context;
  return new quarantineExchange.QuarantineExchange({
    network,
    members,
    clock,
    random,
    crashes: store.add(new targets.CrashFingerprints(clock)),
    journal: (fingerprint) => journalQuarantine(shards, fingerprint),
  });
}

/** Journals a quarantine in any shard owned here. Without one, only the peers are notified. */
function journalQuarantine(shards: ProgramJournal, fingerprint: string): void {
  const owned = ownedShards.ownedShards(shards)[0];
  if (owned === undefined) return;
  const body = { kind: programs.RECORD_KINDS.REQUEST_QUARANTINED, fingerprint } as const;
  shards.append(owned.ownership.shard, body, { replicateInOutage: true });
}

function createEngineMemory(
  context: VmContext,
  { client, lookup }: TargetComponents,
): engineMemory.EngineMemory {
  const releaser = context.store.add(
    new targets.MemoryReleaser({
      ...vmContext.clockAndLogger(context.clock, 'memory'),
      client,
      engines: () => targetComponents.enginesOf(context.configuration),
      random: context.random,
    }),
  );
  return new engineMemory.EngineMemory(releaser, lookup, context.clock);
}

/**
 * For each shard that this process owns, adds the quarantined requests of its journal and cancels
 * the calls that an earlier owner left running.
 */
function recoverOwnedShards(
  context: VmContext,
  shards: ProgramJournal,
  { client }: TargetComponents,
  calls: programs.HomeCalls,
  quarantine: quarantineExchange.QuarantineExchange,
): void {
  const { clock, configuration, store } = context;
  const canceller = store.add(
    new orphanedCallCanceller.OrphanedCallCanceller({
      client,
      engines: () => targetComponents.enginesOf(configuration),
      isResumed: (callId) => calls.isResumed(callId),
      clock,
    }),
  );
  const recover = (owned: journal.OwnedShard<programs.ShardState>): void => {
    quarantine.addQuarantined(owned.state.quarantined);
    canceller.cancel(owned.ownership);
  };
  store.add(shards.onOwned(recover));
  // Handles shards that were claimed before the listener was added.
  ownedShards.ownedShards(shards).forEach(recover);
}
