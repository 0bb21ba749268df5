import type * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as platformClient from '@limpettack/platform-client';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as xxhash from 'xxhash-wasm';
import * as appendRateLimiter from './AppendRateLimiter.js';
import * as claimSupervisor from './ClaimSupervisor.js';
import * as handOverShards from './handOverShards.js';
import * as holderWatch from './HolderWatch.js';
import * as logStatus from './LogStatus.js';
import * as ownershipExchange from './OwnershipExchange.js';
import * as pauseDetector from './PauseDetector.js';
import type * as rankMembers from './rankMembers.js';
import * as readCounter from './ReadCounter.js';
import * as retentionWatch from './RetentionWatch.js';
import * as servePeers from './servePeers.js';
import * as shardBalancer from './ShardBalancer.js';
import * as shardSlot from './ShardSlot.js';
import type { SlotDependencies, SlotListener } from './SlotTypes.js';
import * as standbyLink from './StandbyLink.js';
import type {
  AppendOptions,
  AppendReceipt,
  ClaimListener,
  Journal,
  OwnedShard,
  Ownership,
  ReadCounts,
  ShardFold,
  ShardGap,
} from './Types.js';

const DEFAULT_APPEND_TIMEOUT_MS = 1_500;
const DEFAULT_REBALANCE_INTERVAL_MS = 2_000;

/** Dependencies and settings of the journal. */
export interface ShardJournalOptions<State, Body> {
  /** Number of shards, fixed when the installation is created. */
  readonly shardCount: number;
  readonly log: platformClient.LogClient;
  readonly network: wire.PeerNetwork;
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
  readonly fold: ShardFold<State, Body>;
  readonly logger: logging.Logger;
  /** Maximum number of appends a second that this process sends. */
  readonly appendsPerSecond: number;
  /** How long a holder must be unreachable before another process claims its shard. */
  readonly suspicionMs: clock.Milliseconds;
  /** Maximum age of a confirmation of ownership that is still used. Must be below `suspicionMs`. */
  readonly authorityWindowMs: clock.Milliseconds;
  /** How long the log keeps records; fetched from the log when omitted. */
  readonly retentionMs?: clock.Milliseconds;
  /** Notified of the claims that this process makes. */
  readonly claimListener?: ClaimListener | undefined;
  /** How long an append may take before it is treated as lost. */
  readonly appendTimeoutMs?: clock.Milliseconds;
  /** Interval between two steps of the balancer. Each step hands over at most one shard. */
  readonly rebalanceIntervalMs?: clock.Milliseconds;
}

/** The journal on the platform's log. Each shard has one stream, one owner and one standby. */
export class ShardJournal<State, Body> implements Journal<State, Body> {
  private readonly store = new lifetime.DisposableStore();

  private readonly stopping = new AbortController();

  private readonly ownedEmitter = this.store.add(new lifetime.Emitter<OwnedShard<State>>());

  private readonly lostEmitter = this.store.add(new lifetime.Emitter<number>());

  private readonly ownershipEmitter = this.store.add(new lifetime.Emitter<Ownership>());

  private readonly gapEmitter = this.store.add(new lifetime.Emitter<ShardGap>());

  private readonly counter = new readCounter.ReadCounter();

  private readonly status: logStatus.LogStatus;

  private readonly slots: readonly shardSlot.ShardSlot<State, Body>[];

  private readonly supervisor: claimSupervisor.ClaimSupervisor;

  private readonly balancer: shardBalancer.ShardBalancer;

  private readonly exchange: ownershipExchange.OwnershipExchange;

  private sequence = 0;

  private readonly retention: retentionWatch.RetentionWatch;

  public readonly onOwned = this.ownedEmitter.event;

  public readonly onLost = this.lostEmitter.event;

  public readonly onOwnershipChange = this.ownershipEmitter.event;

  public readonly onGap = this.gapEmitter.event;

  private constructor(
    private readonly options: ShardJournalOptions<State, Body>,
    private readonly hash: rankMembers.HashText,
  ) {
    const { clock: clockSource, membership: members, suspicionMs } = options;
    const { log, retentionMs } = options;
    this.retention = new retentionWatch.RetentionWatch(log, clockSource, retentionMs);
    const probeStream = streamName(0);
    const { signal } = this.stopping;
    this.status = new logStatus.LogStatus(options.log, clockSource, probeStream, signal);
    const pauses = new pauseDetector.PauseDetector(clockSource, signal);
    this.slots = this.createSlots(pauses);
    const watch = new holderWatch.HolderWatch({ membership: members, clock: clockSource, pauses });
    const shared = { membership: members, clock: clockSource, hash };
    this.supervisor = new claimSupervisor.ClaimSupervisor(this.slots, {
      ...shared,
      status: this.status,
      watch,
      pauses,
      suspicionMs,
    });
    const intervalMs = options.rebalanceIntervalMs ?? DEFAULT_REBALANCE_INTERVAL_MS;
    this.balancer = new shardBalancer.ShardBalancer(this.slots, { ...shared, intervalMs });
    this.exchange = new ownershipExchange.OwnershipExchange(this, options);
  }

  /** Starts the journal. Resolves once it has fetched the claims from peers or from the log. */
  public static async start<State, Body>(
    options: ShardJournalOptions<State, Body>,
  ): Promise<ShardJournal<State, Body>> {
    const { h32 } = await xxhash.default();
    const journal = new ShardJournal(options, (text) => h32(text));
    await journal.begin();
    return journal;
  }

  /** @inheritdoc */
  public get shardCount(): number {
    return this.options.shardCount;
  }

  /** @inheritdoc */
  public shardOf(key: string): number {
    return this.hash(key) % this.shardCount;
  }

  /** @inheritdoc */
  public ownership(shard: number): Ownership | undefined {
    return this.slots[shard]?.ownership;
  }

  /** @inheritdoc */
  public learn(ownership: Ownership): void {
    this.slots[ownership.shard]?.learn(ownership);
  }

  /** @inheritdoc */
  public owned(shard: number): OwnedShard<State> | undefined {
    return this.slots[shard]?.owned;
  }

  /** @inheritdoc */
  public isStandby(shard: number): boolean {
    return this.slots[shard]?.isStandby ?? false;
  }

  /** @inheritdoc */
  public async append(
    shard: number,
    body: Body,
    options: AppendOptions,
  ): Promise<trueMyth.Result<AppendReceipt, errors.Fault>> {
    const slot = this.slots[shard];
    if (slot === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
    return slot.append(body, options.replicateInOutage);
  }

  /** @inheritdoc */
  public async confirmAuthority(
    shard: number,
    freshnessMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<Ownership, errors.Fault>> {
    const slot = this.slots[shard];
    if (slot === undefined) return trueMyth.Result.err(errors.createFault('not-owner'));
    return slot.confirmAuthority(Math.min(freshnessMs, this.options.authorityWindowMs));
  }

  /** @inheritdoc */
  public isLogAvailable(): boolean {
    return this.status.available;
  }

  /** @inheritdoc */
  public readCounts(): ReadCounts {
    return this.counter.counts;
  }

  /** @inheritdoc */
  public async handOver(timeoutMs: clock.Milliseconds): Promise<void> {
    this.supervisor.stopClaiming();
    this.balancer.stop();
    await handOverShards.handOverShards(this.slots, timeoutMs, {
      ...this.options,
      hash: this.hash,
    });
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.stopping.abort();
    this.slots.forEach((slot) => slot.stop());
    await this.store.dispose();
  }

  private createSlots(
    pauses: pauseDetector.PauseDetector,
  ): readonly shardSlot.ShardSlot<State, Body>[] {
    const { options, status } = this;
    const { log, clock: clockSource, fold, network, logger } = options;
    const dependencies: SlotDependencies<State, Body> = {
      log,
      clock: clockSource,
      fold,
      logger,
      status,
      streamName,
      pauses,
      self: network.self,
      link: new standbyLink.StandbyLink(network, clockSource),
      rate: new appendRateLimiter.AppendRateLimiter(clockSource, options.appendsPerSecond),
      claimListener: options.claimListener,
      appendTimeoutMs: options.appendTimeoutMs ?? DEFAULT_APPEND_TIMEOUT_MS,
      createId: () => this.createId(),
      retentionMs: () => this.retention.retentionMs,
    };
    const listener = this.createSlotListener();
    return Array.from(
      { length: options.shardCount },
      (_, shard) => new shardSlot.ShardSlot(shard, dependencies, listener),
    );
  }

  private createSlotListener(): SlotListener<State, Body> {
    return {
      onOwned: (owned) => this.ownedEmitter.fire(owned),
      onLost: (shard) => this.lostEmitter.fire(shard),
      onOwnership: (ownership) => {
        this.ownershipEmitter.fire(ownership);
        this.exchange.announce(ownership);
      },
      onGap: (shard, firstOffset) => {
        this.counter.countGap();
        this.gapEmitter.fire({ shard, firstOffset });
      },
      onRecord: (shard, outcome) => {
        this.counter.count(outcome);
        if (outcome.kind !== 'skipped') return;
        const fields = { shard, offset: outcome.offset, reason: outcome.reason };
        this.options.logger.warn('Skipped a record that cannot be processed.', fields);
      },
    };
  }

  private createId() {
    const { incarnation } = this.options.network.self;
    const { sequence } = this;
    this.sequence += 1;
    return { incarnation, sequence };
  }

  private async begin(): Promise<void> {
    this.serve();
    await Promise.all([this.exchange.compareWithPeers(), this.retention.fetchRetention()]);
    const unclaimed = this.slots.filter((slot) => slot.ownership === undefined);
    await Promise.all(unclaimed.map((slot) => slot.readToEnd()));
    const { signal } = this.stopping;
    const tasks = [
      this.supervisor.run(signal),
      this.balancer.run(signal),
      this.exchange.run(signal),
      this.retention.run(() => this.slots.forEach((slot) => slot.renewExpiring()), signal),
    ];
    tasks.forEach((task) => task.catch((cause: unknown) => this.reportFailure(cause)));
  }

  private serve(): void {
    const service: servePeers.PeerService = {
      slot: (shard) => this.slots[shard],
      exchange: (request) => this.exchange.respond(request),
      supervise: () => this.supervisor.superviseAll(),
    };
    this.store.add(servePeers.servePeers(this.options.network, service));
  }

  private reportFailure(cause: unknown): void {
    this.options.logger.error('A background task of the journal failed.', {
      reason: String(cause),
    });
  }
}

function streamName(shard: number): string {
  return `journal-${shard}`;
}
