import type * as journal from '@limpettack/journal';
import * as programs from '@limpettack/programs';
import * as targets from '@limpettack/targets';
import * as targetParts from './createTargetParts.js';
import type { TargetParts } from './createTargetParts.js';
import * as engineMemory from './EngineMemory.js';
import * as orphanedCalls from './OrphanedCalls.js';
import * as ownedShards from './ownedShards.js';
import * as quarantineExchange from './QuarantineExchange.js';
import * as vmContext from './VmContext.js';
import type { Shards, VmContext } from './VmContext.js';

/** Retries for each call, and how many may come at once. */
const RETRY_BUDGET = { fraction: 0.2, burst: 20 };

/** Makes the home of the programs whose shards this process owns. Returns what runs its calls. */
export function createHome(
  context: VmContext,
  shards: Shards,
  parts: TargetParts,
): programs.HomeCalls {
  const { store, network, configuration, metrics } = context;
  const quarantine = store.add(createQuarantine(context, shards));
  const { calls, keyed } = createCalls(context, shards, parts, quarantine);
  const memory = store.add(createMemory(context, parts));
  const home = store.add(
    new programs.Home({
      ...vmContext.partsOf(context.clock, 'home'),
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
  followOwnership(context, shards, parts, calls, quarantine);
  return calls;
}

function createCalls(
  context: VmContext,
  shards: Shards,
  parts: TargetParts,
  crashes: programs.CrashRecord,
): { calls: programs.HomeCalls; keyed: programs.KeyedCaller } {
  const { clock, random } = context;
  const { scheduler, client, directory } = parts;
  const retries = new targets.RetryBudget(RETRY_BUDGET);
  const shared = { scheduler, client, directory, crashes, retries, clock, random };
  const caller = new programs.ServiceCaller(shared);
  const { network } = context;
  const reports = context.store.add(new programs.OutcomeReports({ shards, network, clock }));
  const keyed = new programs.KeyedCaller({
    ...vmContext.partsOf(context.clock, 'home'),
    shards,
    services: caller,
    client,
    reports,
  });
  const authority = new programs.Authority(shards);
  const running = new programs.RunningCalls(context.configuration, clock);
  const common = {
    models: new programs.ModelCaller(shared),
    services: new programs.ServiceRuns(caller, keyed, authority),
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
    singles: new programs.SingleCalls({
      ...common,
      shardOf: (callKey) => shards.shardOf(callKey),
    }),
    clock,
  });
  return { calls, keyed };
}

function createQuarantine(
  context: VmContext,
  shards: Shards,
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

/** Journals a quarantine in any shard owned here; without one, peers alone are told. */
function journalQuarantine(shards: Shards, fingerprint: string): void {
  const owned = ownedShards.ownedShards(shards)[0];
  if (owned === undefined) return;
  const body = { kind: programs.RECORD_KINDS.REQUEST_QUARANTINED, fingerprint } as const;
  shards.append(owned.ownership.shard, body, { replicateInOutage: true });
}

function createMemory(
  context: VmContext,
  { client, lookup }: TargetParts,
): engineMemory.EngineMemory {
  const releaser = context.store.add(
    new targets.MemoryReleaser({
      ...vmContext.partsOf(context.clock, 'memory'),
      client,
      engines: () => targetParts.enginesOf(context.configuration),
      random: context.random,
    }),
  );
  return new engineMemory.EngineMemory(releaser, lookup, context.clock);
}

/** Takes up and cleans up what the earlier owner of each shard left behind. */
function followOwnership(
  context: VmContext,
  shards: Shards,
  { client }: TargetParts,
  calls: programs.HomeCalls,
  quarantine: quarantineExchange.QuarantineExchange,
): void {
  const { clock, configuration, store } = context;
  const orphans = store.add(
    new orphanedCalls.OrphanedCalls({
      client,
      engines: () => targetParts.enginesOf(configuration),
      isResumed: (callId) => calls.isResumed(callId),
      clock,
    }),
  );
  const follow = (owned: journal.OwnedShard<programs.ShardState>): void => {
    quarantine.learn(owned.state.quarantined);
    orphans.cancel(owned.ownership);
  };
  store.add(shards.onOwned(follow));
  // Shards that were claimed while the other parts were made.
  ownedShards.ownedShards(shards).forEach(follow);
}
