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
import * as targetComponents from './createTargetComponents.js';
import type * as nodeSettings from './NodeSettings.js';
import * as pickRandomPeers from './pickRandomPeers.js';
import * as gauges from './registerGauges.js';
import * as usageExchange from './UsageExchange.js';
import * as vmContext from './VmContext.js';
import type { NodeSecrets, ProgramJournal, VmContext } from './VmContext.js';

/** Maximum wait at the start for contact with the listed VMs, in milliseconds. */
const MAXIMUM_MEMBERSHIP_WAIT_MS = 1_500;

/** Interval between two checks for this contact, in milliseconds. */
const MEMBERSHIP_CHECK_INTERVAL_MS = 20;

/** Number of random peers that the configuration is exchanged with at a time. */
const CONFIGURATION_PEERS = 4;

const { AVAILABLE } = membership.MEMBER_STATES;

/** The addresses that a VM process listens on, as `host:port`. */
export interface ListeningAddresses {
  /** For callers. */
  readonly listening: string;
  /** The address under which peers reach this process. */
  readonly peers: string;
  readonly operators: string;
}

/** Components that a graceful shutdown uses. */
interface RunningComponents {
  readonly members: membership.Membership;
  readonly shards: ProgramJournal;
  readonly entry: entry.EntryServer;
  readonly calls: programs.HomeCalls;
}

/** A VM process: creates and starts all components, and shuts them down gracefully. */
export class VmProcess implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly clock = new clockPackage.SystemClock();

  private readonly logger = new logging.PartLogger('node');

  private running: RunningComponents | undefined;

  private isDraining = false;

  public constructor(
    private readonly settings: nodeSettings.NodeSettings,
    private readonly secrets: NodeSecrets,
  ) {}

  /**
   * Starts all components. Resolves with the listening addresses. The VM becomes ready later, when
   * the configuration has been read.
   */
  public async start(): Promise<ListeningAddresses> {
    const context = await this.createContext();
    const { members, store, network, clock, random } = context;
    await members.start();
    await this.waitForMembers(members);
    context.configuration.start();
    const components = targetComponents.createTargetComponents(context);
    const { shards, admission } = await this.startShards(context);
    const calls = homes.createHome(context, shards, components);
    const { scheduler } = components;
    store.add(new usageExchange.UsageExchange(network, members, scheduler, clock, random));
    const created = servers.createServers(context, shards, admission, () => this.isDraining);
    gauges.registerGauges(context, shards, calls, created.entry);
    this.running = { members, shards, entry: created.entry, calls };
    const { callers, operators } = this.settings;
    return {
      listening: `${callers.host}:${await created.entry.listen()}`,
      operators: `${operators.host}:${await created.operators.listen()}`,
      peers: network.self.address,
    };
  }

  /** Shuts down gracefully: refuses new requests, finishes running ones, hands the shards over. */
  public async shutDown(): Promise<void> {
    const { drainDelayMs, handOverTimeoutMs } = this.settings.shutdown;
    this.logger.info('The shutdown begins.');
    this.isDraining = true;
    await this.running?.members.announceLeaving();
    await this.clock.sleep(drainDelayMs);
    await this.running?.entry.drain();
    await this.running?.shards.handOver(handOverTimeoutMs);
    // Calls that must not be repeated still run here, and their callers are waiting for them.
    await this.running?.calls.waitUntilIdle(handOverTimeoutMs);
    await this.dispose();
    this.logger.info('The shutdown is complete.');
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  /** Listens for peers and creates the components that all others depend on. */
  private async createContext(): Promise<VmContext> {
    const { settings, secrets, clock, store } = this;
    const reads = new wire.ReadScheduler(vmContext.clockAndLogger(clock, 'wire'));
    const network = store.add(this.createNetwork(reads));
    // The address is known only after listening, and is part of the identity of all components.
    await network.listen();
    const { url: baseUrl, requestTimeoutMs } = settings.platform;
    const platform = { baseUrl, requestTimeoutMs };
    const log = store.add(new platformClient.HttpLogClient(clock, platform));
    const vmList = store.add(new platformClient.HttpVmListClient(clock, platform));
    const members = store.add(this.createMembership(network, vmList));
    const { random } = Math;
    const follower = new configuration.ConfigurationFollower({
      ...vmContext.clockAndLogger(this.clock, 'configuration'),
      log,
      network,
      random,
      peers: () =>
        pickRandomPeers
          .pickRandomPeers(members, network.self, CONFIGURATION_PEERS, random)
          .map((member) => member.address),
    });
    const view = store.add(follower);
    const registry = new metrics.VmMetrics();
    const shared = { settings, secrets, clock, random, store };
    return { ...shared, metrics: registry, network, reads, log, members, configuration: view };
  }

  private createNetwork(reads: wire.ReadScheduler): wire.FleetNetwork {
    const { vm, peers } = this.settings;
    return new wire.FleetNetwork({
      ...vmContext.clockAndLogger(this.clock, 'wire'),
      name: vm.name,
      incarnation: ulid.ulid(),
      failureDomain: vm.failureDomain,
      advertisedAddress: peers.advertisedAddress,
      secret: this.secrets.peers,
      host: peers.host,
      port: peers.port,
      reads,
    });
  }

  private createMembership(
    network: wire.PeerNetwork,
    vmList: platformClient.VmListClient,
  ): membership.ProbingMembership {
    return new membership.ProbingMembership({
      ...vmContext.clockAndLogger(this.clock, 'membership'),
      ...this.settings.membership,
      network,
      vmList,
      random: Math.random,
      seeds: this.settings.peers.seeds,
    });
  }

  /**
   * Waits until all listed VMs have been contacted, or the maximum wait has passed. A VM that knows
   * only itself would claim every shard and then have to hand most of them over.
   */
  private async waitForMembers(members: membership.Membership): Promise<void> {
    const deadline = this.clock.now() + MAXIMUM_MEMBERSHIP_WAIT_MS;
    while (this.clock.now() < deadline) {
      const uncontacted = members
        .members()
        .filter((member) => member.state === AVAILABLE && member.incarnation === '');
      if (uncontacted.length === 0) return;
      await this.clock.sleep(MEMBERSHIP_CHECK_INTERVAL_MS);
    }
  }

  /**
   * Starts the journal and the admission. The admission is notified of each claim of a shard before
   * the claim is appended, so before any process can read it.
   */
  private async startShards(
    context: VmContext,
  ): Promise<{ shards: ProgramJournal; admission: limits.AdmissionControl }> {
    const { network, members, log, clock, store } = context;
    const lateBound: { hook?: limits.TakeoverHook } = {};
    const shards = await journal.ShardJournal.start<programs.ShardState, programs.JournalBody>({
      ...vmContext.clockAndLogger(context.clock, 'journal'),
      ...context.settings.journal,
      log,
      network,
      membership: members,
      fold: new programs.ProgramsFold(clock),
      claimListener: {
        beforeClaim: (shard) => lateBound.hook?.beforeClaim(shard),
        claimAbandoned: (shard) => lateBound.hook?.claimAbandoned(shard),
      },
    });
    store.add(shards);
    const admission = new limits.FleetAdmission({
      ...vmContext.clockAndLogger(context.clock, 'limits'),
      network,
      journal: shards,
      membership: members,
      configuration: context.configuration,
    });
    lateBound.hook = admission;
    return { shards, admission: store.add(admission) };
  }
}
