import * as clockPackage from '@limpettack/clock';
import * as configuration from '@limpettack/configuration';
import type * as entry from '@limpettack/entry';
import * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import * as limits from '@limpettack/limits';
import * as logging from '@limpettack/logging';
import * as membership from '@limpettack/membership';
import * as metrics from '@limpettack/metrics';
import * as platformClient from '@limpettack/platform-client';
import * as programs from '@limpettack/programs';
import * as wire from '@limpettack/wire';
import * as ulid from 'ulid';
import * as homes from './createHome.js';
import * as servers from './createServers.js';
import * as targetParts from './createTargetParts.js';
import type * as nodeSettings from './NodeSettings.js';
import * as pickRandom from './pickRandom.js';
import * as gauges from './registerGauges.js';
import * as usageExchange from './UsageExchange.js';
import * as vmContext from './VmContext.js';
import type { NodeSecrets, Shards, VmContext } from './VmContext.js';

/** The longest wait at the start for the listed VMs to be met, in milliseconds. */
const SETTLE_LIMIT_MS = 1_500;
const SETTLE_INTERVAL_MS = 20;

/** Peers that the configuration is passed on to at a time. */
const CONFIGURATION_PEERS = 4;

const { AVAILABLE } = membership.MEMBER_STATES;

/** Where a VM process listens. */
export interface ListeningAddresses {
  readonly listening: string;
  readonly peers: string;
  readonly operators: string;
}

/** What an orderly end needs. */
interface RunningParts {
  readonly members: membership.Membership;
  readonly shards: Shards;
  readonly entry: entry.EntryServer;
  readonly calls: programs.HomeCalls;
}

/** One VM process: all parts put together, and their orderly end. */
export class VmProcess implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly clock = new clockPackage.SystemClock();

  private readonly logger = new logging.PartLogger('node');

  private running: RunningParts | undefined;

  private isDraining = false;

  public constructor(
    private readonly settings: nodeSettings.NodeSettings,
    private readonly secrets: NodeSecrets,
  ) {}

  /** Starts all parts. Resolves with the addresses; readiness comes when the state is read. */
  public async start(): Promise<ListeningAddresses> {
    const context = await this.createContext();
    const { members, store, network, clock, random } = context;
    await members.start();
    await this.settle(members);
    context.configuration.start();
    const parts = targetParts.createTargetParts(context);
    const { shards, admission } = await this.startShards(context);
    const calls = homes.createHome(context, shards, parts);
    const { scheduler } = parts;
    store.add(new usageExchange.UsageExchange(network, members, scheduler, clock, random));
    const made = servers.createServers(context, shards, admission, () => this.isDraining);
    gauges.registerGauges(context, shards, calls, made.entry);
    this.running = { members, shards, entry: made.entry, calls };
    const { callers, operators } = this.settings;
    return {
      listening: `${callers.host}:${await made.entry.listen()}`,
      operators: `${operators.host}:${await made.operators.listen()}`,
      peers: network.self.address,
    };
  }

  /** Ends in order: nothing new, what runs is finished, the shards are handed over. */
  public async shutDown(): Promise<void> {
    const { drainDelayMs, handOverTimeoutMs } = this.settings.shutdown;
    this.logger.info('The shutdown begins.');
    this.isDraining = true;
    await this.running?.members.announceLeaving();
    await this.clock.sleep(drainDelayMs);
    await this.running?.entry.drain();
    await this.running?.shards.handOver(handOverTimeoutMs);
    // Calls that must not be repeated still run here, and their callers wait for them.
    await this.running?.calls.untilNone(handOverTimeoutMs);
    await this.dispose();
    this.logger.info('The shutdown is complete.');
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  /** Listens for peers and makes the parts that all others lean on. */
  private async createContext(): Promise<VmContext> {
    const { settings, secrets, clock, store } = this;
    const network = store.add(this.createNetwork());
    // The address is known only now, and all other parts take their identity from it.
    await network.listen();
    const { url: baseUrl, requestTimeoutMs } = settings.platform;
    const platform = { baseUrl, requestTimeoutMs };
    const log = store.add(new platformClient.HttpLogClient(clock, platform));
    const vmList = store.add(new platformClient.HttpVmListClient(clock, platform));
    const members = store.add(this.createMembership(network, vmList));
    const { random } = Math;
    const follower = new configuration.ConfigurationFollower({
      ...vmContext.partsOf(this.clock, 'configuration'),
      log,
      network,
      random,
      peers: () =>
        pickRandom
          .pickPeers(members, network.self, CONFIGURATION_PEERS, random)
          .map((member) => member.address),
    });
    const view = store.add(follower);
    const registry = new metrics.VmMetrics();
    const shared = { settings, secrets, clock, random, store };
    return { ...shared, metrics: registry, network, log, members, configuration: view };
  }

  private createNetwork(): wire.FleetNetwork {
    const { vm, peers } = this.settings;
    return new wire.FleetNetwork({
      ...vmContext.partsOf(this.clock, 'wire'),
      name: vm.name,
      incarnation: ulid.ulid(),
      failureDomain: vm.failureDomain,
      advertisedAddress: peers.advertisedAddress,
      secret: this.secrets.peers,
      host: peers.host,
      port: peers.port,
    });
  }

  private createMembership(
    network: wire.PeerNetwork,
    vmList: platformClient.VmListClient,
  ): membership.ProbingMembership {
    return new membership.ProbingMembership({
      ...vmContext.partsOf(this.clock, 'membership'),
      ...this.settings.membership,
      network,
      vmList,
      random: Math.random,
      seeds: this.settings.peers.seeds,
    });
  }

  /**
   * Waits until the listed VMs have been met, or a moment has passed. A VM that sees only itself
   * would claim every shard and then have to hand most of them over.
   */
  private async settle(members: membership.Membership): Promise<void> {
    const deadline = this.clock.now() + SETTLE_LIMIT_MS;
    while (this.clock.now() < deadline) {
      const unmet = members
        .members()
        .filter((member) => member.state === AVAILABLE && member.incarnation === '');
      if (unmet.length === 0) return;
      await this.clock.sleep(SETTLE_INTERVAL_MS);
    }
  }

  /** Starts the journal, and the limits that hear of its claims before anyone can read them. */
  private async startShards(
    context: VmContext,
  ): Promise<{ shards: Shards; admission: limits.Admission }> {
    const { network, members, log, clock, store } = context;
    const made: { hook?: limits.TakeoverHook } = {};
    const shards = await journal.ShardJournal.start<programs.ShardState, programs.JournalBody>({
      ...vmContext.partsOf(context.clock, 'journal'),
      ...context.settings.journal,
      log,
      network,
      membership: members,
      fold: new programs.ProgramsFold(clock),
      claimListener: {
        beforeClaim: (shard) => made.hook?.beforeClaim(shard),
        claimAbandoned: (shard) => made.hook?.claimAbandoned(shard),
      },
    });
    store.add(shards);
    const admission = new limits.FleetAdmission({
      ...vmContext.partsOf(context.clock, 'limits'),
      network,
      journal: shards,
      membership: members,
      configuration: context.configuration,
    });
    made.hook = admission;
    return { shards, admission: store.add(admission) };
  }
}
