import * as clockPackage from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import * as entry from '@limpettack/entry';
import * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import * as limits from '@limpettack/limits';
import * as logging from '@limpettack/logging';
import * as membership from '@limpettack/membership';
import * as metrics from '@limpettack/metrics';
import * as platformClient from '@limpettack/platform-client';
import * as programs from '@limpettack/programs';
import * as scheduling from '@limpettack/scheduling';
import * as targets from '@limpettack/targets';
import * as wire from '@limpettack/wire';
import * as ulid from 'ulid';
import * as engineMemory from './EngineMemory.js';
import * as fleetView from './FleetView.js';
import type * as nodeSettings from './NodeSettings.js';
import * as operatorsServer from './OperatorsServer.js';
import * as orphanedCalls from './OrphanedCalls.js';
import * as pickRandom from './pickRandom.js';
import * as platformReach from './PlatformReach.js';
import * as quarantineExchange from './QuarantineExchange.js';
import * as usageExchange from './UsageExchange.js';

/** Retries for each call, and how many may come at once. */
const RETRY_BUDGET = { fraction: 0.2, burst: 20 };

/** The longest wait at the start for the listed VMs to be met, in milliseconds. */
const SETTLE_LIMIT_MS = 1_500;
const SETTLE_INTERVAL_MS = 20;

/** Peers that the configuration is passed on to at a time. */
const CONFIGURATION_PEERS = 4;

const { AVAILABLE } = membership.MEMBER_STATES;

const NOTHING_TO_DISPOSE: lifetime.Disposable = { dispose: () => undefined };

/** Secrets of the settings, read from where they are kept. */
export interface NodeSecrets {
  readonly peers: string;
  readonly operators: string;
  readonly credentials: ReadonlyMap<string, string>;
}

/** Where a VM process listens. */
export interface ListeningAddresses {
  readonly listening: string;
  readonly peers: string;
  readonly operators: string;
}

type Shards = journal.ShardJournal<programs.ShardState, programs.JournalBody>;

/** One VM process: all parts put together, and their orderly end. */
export class VmProcess implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly clock = new clockPackage.SystemClock();

  private readonly logger = new logging.PartLogger('node');

  private readonly random = Math.random;

  private readonly metrics = new metrics.VmMetrics();

  private readonly network: wire.FleetNetwork;

  private readonly log: platformClient.HttpLogClient;

  private readonly vmList: platformClient.HttpVmListClient;

  private members!: membership.ProbingMembership;

  private configuration!: configuration.ConfigurationFollower;

  private shards: Shards | undefined;

  private entryServer: entry.EntryServer | undefined;

  private directory: targets.TargetDirectory | undefined;

  private takeoverHook: limits.TakeoverHook | undefined;

  private isDraining = false;

  public constructor(
    private readonly settings: nodeSettings.NodeSettings,
    private readonly secrets: NodeSecrets,
  ) {
    this.network = this.store.add(this.createNetwork());
    const platformOptions = {
      baseUrl: settings.platform.url,
      requestTimeoutMs: settings.platform.requestTimeoutMs,
    };
    this.log = this.store.add(new platformClient.HttpLogClient(this.clock, platformOptions));
    this.vmList = this.store.add(new platformClient.HttpVmListClient(this.clock, platformOptions));
  }

  /** Starts all parts. Resolves with the addresses; readiness comes when the state is read. */
  public async start(): Promise<ListeningAddresses> {
    // The address is known only now, and all other parts take their identity from it.
    await this.network.listen();
    this.members = this.store.add(this.createMembership());
    this.configuration = this.store.add(this.createConfiguration());
    await this.members.start();
    await this.settle();
    this.configuration.start();
    const lookup = new targets.ConfigurationLookup(this.configuration);
    const client = this.store.add(this.createTargetClient(lookup));
    const directory = this.store.add(this.createDirectory(client));
    this.directory = directory;
    const scheduler = this.store.add(this.createScheduler(directory));
    const shards = await this.startShards();
    const admission = this.store.add(this.createAdmission(shards));
    const quarantine = this.store.add(this.createQuarantine(shards));
    const calls = this.createCalls(shards, client, directory, scheduler, quarantine);
    const memory = this.store.add(this.createMemory(client, lookup));
    const home = this.store.add(
      new programs.Home({
        ...this.parts('home'),
        shards,
        calls,
        network: this.network,
        configuration: this.configuration,
        memory,
      }),
    );
    memory.sweep({
      isLive: (program) => home.isLive(program),
      isOwnedHere: (program) => home.owns(program),
    });
    this.followOwnership(shards, client, calls, quarantine);
    this.store.add(
      new usageExchange.UsageExchange(
        this.network,
        this.members,
        scheduler,
        this.clock,
        this.random,
      ),
    );
    return this.listen(shards, admission, calls);
  }

  /**
   * Waits until the listed VMs have been met, or a moment has passed. A VM that sees only itself
   * would claim every shard and then have to hand most of them over.
   */
  private async settle(): Promise<void> {
    const deadline = this.clock.now() + SETTLE_LIMIT_MS;
    while (this.clock.now() < deadline) {
      const unmet = this.members
        .members()
        .filter((member) => member.state === AVAILABLE && member.incarnation === '');
      if (unmet.length === 0) return;
      await this.clock.sleep(SETTLE_INTERVAL_MS);
    }
  }

  /** Ends in order: nothing new, what runs is finished, the shards are handed over. */
  public async shutDown(): Promise<void> {
    const { drainDelayMs, handOverTimeoutMs } = this.settings.shutdown;
    this.logger.info('The shutdown begins.');
    this.isDraining = true;
    await this.members.announceLeaving();
    await this.clock.sleep(drainDelayMs);
    await this.entryServer?.drain();
    await this.shards?.handOver(handOverTimeoutMs);
    await this.dispose();
    this.logger.info('The shutdown is complete.');
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  private parts(part: string): { clock: clockPackage.Clock; logger: logging.Logger } {
    return { clock: this.clock, logger: new logging.PartLogger(part) };
  }

  private createNetwork(): wire.FleetNetwork {
    const { vm, peers } = this.settings;
    return new wire.FleetNetwork({
      ...this.parts('wire'),
      name: vm.name,
      incarnation: ulid.ulid(),
      failureDomain: vm.failureDomain,
      advertisedAddress: peers.advertisedAddress,
      secret: this.secrets.peers,
      host: peers.host,
      port: peers.port,
    });
  }

  private createMembership(): membership.ProbingMembership {
    return new membership.ProbingMembership({
      ...this.parts('membership'),
      ...this.settings.membership,
      network: this.network,
      vmList: this.vmList,
      random: this.random,
      seeds: this.settings.peers.seeds,
    });
  }

  private createConfiguration(): configuration.ConfigurationFollower {
    return new configuration.ConfigurationFollower({
      ...this.parts('configuration'),
      log: this.log,
      network: this.network,
      peers: () =>
        pickRandom
          .pickPeers(this.members, this.network.self, CONFIGURATION_PEERS, this.random)
          .map((member) => member.address),
      random: this.random,
    });
  }

  private createTargetClient(lookup: targets.TargetLookup): targets.HttpTargetClient {
    return new targets.HttpTargetClient({
      ...this.parts('targets'),
      lookup,
      credentials: this.secrets.credentials,
      // The directory reads through this client, so it is made after it.
      mayTakeWork: (target) => this.directory?.mayTakeWork(target) ?? false,
      onUnreachable: (listener) => this.directory?.onUnreachable(listener) ?? NOTHING_TO_DISPOSE,
    });
  }

  private createDirectory(client: targets.HttpTargetClient): targets.PoolTargetDirectory {
    return new targets.PoolTargetDirectory({
      ...this.parts('targets'),
      configuration: this.configuration,
      reader: client,
      random: this.random,
    });
  }

  private createScheduler(directory: targets.TargetDirectory): scheduling.PoolScheduler {
    return new scheduling.PoolScheduler({
      ...this.parts('scheduling'),
      targets: directory,
      policy: scheduling.POLICIES[this.settings.scheduling.policy](),
      ownFailureDomain: this.settings.vm.failureDomain,
    });
  }

  private async startShards(): Promise<Shards> {
    // The limits hear of claims before anyone can read them; they are made after the journal.
    const claimListener = {
      beforeClaim: (shard: number) => this.takeoverHook?.beforeClaim(shard),
      claimAbandoned: (shard: number) => this.takeoverHook?.claimAbandoned(shard),
    };
    const shards = await journal.ShardJournal.start<programs.ShardState, programs.JournalBody>({
      ...this.parts('journal'),
      ...this.settings.journal,
      log: this.log,
      network: this.network,
      membership: this.members,
      fold: new programs.ProgramsFold(this.clock),
      claimListener,
    });
    this.shards = this.store.add(shards);
    return shards;
  }

  private createAdmission(shards: Shards): limits.FleetAdmission {
    const admission = new limits.FleetAdmission({
      ...this.parts('limits'),
      network: this.network,
      journal: shards,
      configuration: this.configuration,
      membership: this.members,
    });
    this.takeoverHook = admission;
    return admission;
  }

  private createQuarantine(shards: Shards): quarantineExchange.QuarantineExchange {
    return new quarantineExchange.QuarantineExchange({
      network: this.network,
      members: this.members,
      crashes: this.store.add(new targets.CrashFingerprints(this.clock)),
      journal: (fingerprint) => journalQuarantine(shards, fingerprint),
      clock: this.clock,
      random: this.random,
    });
  }

  private createCalls(
    shards: Shards,
    client: targets.TargetClient,
    directory: targets.TargetDirectory,
    scheduler: scheduling.Scheduler,
    crashes: programs.CrashRecord,
  ): programs.HomeCalls {
    const retries = new targets.RetryBudget(RETRY_BUDGET);
    const { clock, random } = this;
    const shared = { scheduler, client, directory, crashes, retries, clock, random };
    const models = new programs.ModelCaller(shared);
    const caller = new programs.ServiceCaller(shared);
    const keyed = new programs.KeyedCaller({
      ...this.parts('home'),
      shards,
      services: caller,
      client,
    });
    const authority = new programs.Authority(shards);
    const services = new programs.ServiceRuns(caller, keyed, authority);
    const running = new programs.RunningCalls(this.configuration, clock);
    const common = { models, services, authority, scheduler, running, clock };
    const shardOf = (callKey: string): number => shards.shardOf(callKey);
    const reservations = new programs.Reservations(shards);
    return new programs.HomeCalls({
      shards,
      running,
      turns: new programs.ProgramTurns({ ...common, shards, directory, reservations }),
      singles: new programs.SingleCalls({ ...common, shardOf }),
      clock,
    });
  }

  private createMemory(
    client: targets.TargetClient,
    lookup: targets.TargetLookup,
  ): engineMemory.EngineMemory {
    const releaser = this.store.add(
      new targets.MemoryReleaser({
        ...this.parts('memory'),
        client,
        engines: () => this.engines(),
        random: this.random,
      }),
    );
    return new engineMemory.EngineMemory(releaser, lookup, this.clock);
  }

  private engines(): readonly string[] {
    return [...this.configuration.current().pools.values()]
      .filter((pool) => pool.kind === configuration.CALL_KINDS.MODEL)
      .flatMap((pool) => pool.targets.map((target) => target.name));
  }

  private followOwnership(
    shards: Shards,
    client: targets.TargetClient,
    calls: programs.HomeCalls,
    quarantine: quarantineExchange.QuarantineExchange,
  ): void {
    const orphans = this.store.add(
      new orphanedCalls.OrphanedCalls({
        client,
        engines: () => this.engines(),
        isResumed: (callId) => calls.isResumed(callId),
        clock: this.clock,
      }),
    );
    const follow = (owned: journal.OwnedShard<programs.ShardState>): void => {
      quarantine.learn(owned.state.quarantined);
      orphans.cancel(owned.ownership);
    };
    this.store.add(shards.onOwned(follow));
    // Shards that were claimed while the other parts were made.
    ownedShards(shards).forEach((shard) => {
      const owned = shards.owned(shard);
      if (owned !== undefined) follow(owned);
    });
  }

  private async listen(
    shards: Shards,
    admission: limits.Admission,
    calls: programs.HomeCalls,
  ): Promise<ListeningAddresses> {
    const reach = this.store.add(
      new platformReach.PlatformReach(shards, this.members, this.configuration, this.clock),
    );
    const homes = new entry.HomeClient({ network: this.network, shards, clock: this.clock });
    const server = this.store.add(this.createEntry(homes, admission, reach));
    this.entryServer = server;
    const operators = this.store.add(
      new operatorsServer.OperatorsServer({
        ...this.settings.operators,
        token: this.secrets.operators,
        metrics: this.metrics,
        isReady: () => reach.isReady() && !this.isDraining,
        fleet: new fleetView.FleetView({
          network: this.network,
          members: this.members,
          shards,
          configuration: this.configuration,
          clock: this.clock,
        }),
        homes,
      }),
    );
    this.registerGauges(shards, calls, server);
    const { callers, operators: operatorsSettings } = this.settings;
    return {
      listening: `${callers.host}:${await server.listen()}`,
      operators: `${operatorsSettings.host}:${await operators.listen()}`,
      peers: this.network.self.address,
    };
  }

  private createEntry(
    homes: entry.Homes,
    admission: limits.Admission,
    reach: platformReach.PlatformReach,
  ): entry.EntryServer {
    const { callers } = this.settings;
    const shared = {
      configuration: this.configuration,
      homes,
      limits: callers,
      metrics: this.metrics,
      clock: this.clock,
    };
    const gate = new entry.CallGate({ ...shared, admission });
    return new entry.EntryServer({
      ...this.parts('entry'),
      ...shared,
      host: callers.host,
      port: callers.port,
      chat: new entry.ChatHandler({ ...shared, gate }),
      services: new entry.ServiceHandler({ ...shared, gate }),
      programs: new entry.ProgramsHandler({ ...shared, gate }),
      isReady: () => reach.isReady(),
      isDraining: () => this.isDraining,
    });
  }

  private registerGauges(
    shards: Shards,
    calls: programs.HomeCalls,
    server: entry.EntryServer,
  ): void {
    const { metrics: registry } = this;
    registry.gauge(
      'limpettack_open_requests',
      'Requests of callers being answered.',
      () => server.openCount,
    );
    registry.gauge(
      'limpettack_running_calls',
      'Calls that this home runs.',
      () => calls.runningCount,
    );
    registry.gauge('limpettack_owned_shards', 'Shards owned here.', () => countOwned(shards));
    registry.gauge('limpettack_programs', 'Programs held here.', () => countPrograms(shards));
    registry.gauge('limpettack_peer_links', 'Links to peers.', () => this.network.linkCount);
    registry.gauge('limpettack_log_available', 'Whether the log answers.', () =>
      shards.isLogAvailable() ? 1 : 0,
    );
    registry.gauge(
      'limpettack_configuration_version',
      'Version in force here.',
      () => this.configuration.current().version,
    );
  }
}

/** Journals a quarantine in any shard owned here; without one, peers alone are told. */
function journalQuarantine(shards: Shards, fingerprint: string): void {
  const shard = ownedShards(shards)[0];
  if (shard === undefined) return;
  const body = { kind: programs.RECORD_KINDS.REQUEST_QUARANTINED, fingerprint } as const;
  shards.append(shard, body, { replicateInOutage: true });
}

function ownedShards(shards: Shards): number[] {
  return Array.from({ length: shards.shardCount }, (_, shard) => shard).filter(
    (shard) => shards.owned(shard) !== undefined,
  );
}

function countOwned(shards: Shards): number {
  return ownedShards(shards).length;
}

function countPrograms(shards: Shards): number {
  return ownedShards(shards).reduce(
    (total, shard) => total + (shards.owned(shard)?.state.programs.size ?? 0),
    0,
  );
}
