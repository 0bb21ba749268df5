import * as nodeEvents from 'node:events';

import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as soloAgreement from './SoloAgreement.js';
import * as grantTimings from './grantTimings.js';
import type * as bucketOwner from './BucketOwner.js';
import * as decisionCache from './DecisionCache.js';
import * as grantBatcher from './GrantBatcher.js';
import * as holderHistory from './HolderHistory.js';
import * as messages from './messages.js';
import type { GrantResult, GrantItem, Holder } from './messages.js';
import * as ownerLocator from './OwnerLocator.js';
import * as ownerTask from './OwnerTask.js';
import * as shardLimits from './ShardLimits.js';
import type {
  AdmissionControl,
  AdmissionRequest,
  DecisionEvent,
  JournalView,
  TakeoverHook,
  WorkspaceLimit,
} from './Types.js';

/** Maximum time that an owner waits for decisions before it responds to a message. */
const MAXIMUM_WAIT_MS = 50;

/** Timeout of a message with requests, including the wait at the owner. */
const GRANT_TIMEOUT_MS = 1_000;

/** Dependencies of the limits. */
export interface FleetAdmissionOptions {
  readonly network: wire.PeerNetwork;
  readonly journal: JournalView;
  readonly configuration: Pick<configuration.ConfigurationView, 'current' | 'onChange'>;
  readonly membership: holderHistory.MemberView;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** Admits requests at any VM and maintains the buckets of the shards that this process owns. */
export class FleetAdmission implements AdmissionControl, TakeoverHook {
  /** Fires for each decision that this process makes as a bucket owner. */
  public readonly onDecision: lifetime.Event<DecisionEvent>;

  private readonly store = new lifetime.DisposableStore();

  private readonly stopping = new AbortController();

  private readonly decisions = new lifetime.Emitter<DecisionEvent>();

  private readonly shards = new Map<number, shardLimits.ShardLimits>();

  private readonly tasks = new Set<Promise<void>>();

  private readonly self: Holder;

  private readonly cache: decisionCache.DecisionCache;

  private readonly batcher: grantBatcher.GrantBatcher;

  private readonly route: ownerLocator.OwnerLocator;

  private readonly agreement: soloAgreement.SoloAgreement;

  /**
   * Shards whose owner has ended and for which this standby is asking the members to agree to solo
   * mode.
   */
  private readonly pendingAgreements = new Set<number>();

  public constructor(private readonly options: FleetAdmissionOptions) {
    const { network, membership: members, clock: time } = options;
    const { name, incarnation, address } = network.self;
    this.self = { name, incarnation, address };
    this.onDecision = this.decisions.event;
    this.cache = new decisionCache.DecisionCache(time);
    this.batcher = new grantBatcher.GrantBatcher(network, GRANT_TIMEOUT_MS);
    this.route = new ownerLocator.OwnerLocator(options.journal, members, time);
    this.agreement = new soloAgreement.SoloAgreement(network, members, this.self);
    this.store.add(this.decisions);
    // Each owned shard adds listeners to this signal, so their number is not limited.
    nodeEvents.EventEmitter.setMaxListeners(0, this.stopping.signal);
    this.registerHandlers();
    this.subscribe();
  }

  /** @inheritdoc */
  public async admit(request: AdmissionRequest): Promise<trueMyth.Result<void, errors.Fault>> {
    const { clock: time, journal: journalView } = this.options;
    const shard = journalView.shardOf(`workspace:${request.workspace}`);
    const deadline = time.now() + request.timeoutMs;
    let remaining = request.timeoutMs;
    while (remaining > 0 && !this.stopping.signal.aborted) {
      const result = await this.requestGrant(shard, { ...request, timeoutMs: remaining });
      if (result.kind === messages.GRANT_RESULT_KINDS.GRANTED) return trueMyth.Result.ok(undefined);
      if (result.kind === messages.GRANT_RESULT_KINDS.REFUSED) return createRefusal(result);
      if (result.ownership) this.route.learn(omitAbsentStandby(result.ownership));
      await this.route.waitBeforeRetry(shard, deadline - time.now());
      remaining = deadline - time.now();
    }
    const message = 'The owner of the workspace limit cannot be reached.';
    const run = errors.RUN_STATES.NOT_RUN;
    return trueMyth.Result.err(errors.createFault('home-unavailable', message, { run }));
  }

  /** @inheritdoc */
  public beforeClaim(shard: number): void {
    this.limitsOf(shard).beforeClaim(this.options.journal.ownership(shard)?.epoch ?? 0);
  }

  /** @inheritdoc */
  public claimAbandoned(shard: number): void {
    this.limitsOf(shard).claimAbandoned();
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.stopping.abort();
    this.shards.forEach((limits) => limits.stopOwner());
    await Promise.all(this.tasks);
    await this.store.dispose();
  }

  private registerHandlers(): void {
    const { network } = this.options;
    this.store.add(network.serve(messages.GRANT, (request) => this.handleGrant(request)));
    this.store.add(
      network.serve(messages.REPLICATE, async (request) =>
        trueMyth.Result.ok(this.limitsOf(request.shard).replicate(request)),
      ),
    );
    this.store.add(
      network.serve(messages.RELEASE, async (request) =>
        trueMyth.Result.ok(this.handleRelease(request)),
      ),
    );
    this.store.add(
      network.serve(messages.SOLO, async (request) =>
        trueMyth.Result.ok(this.limitsOf(request.shard).acceptSurvivor(request)),
      ),
    );
  }

  private subscribe(): void {
    const { journal: journalView, configuration: view } = this.options;
    this.store.add(
      journalView.onOwnershipChange((ownership) => {
        this.limitsOf(ownership.shard).learn(ownership);
        this.continueRenewed(ownership);
      }),
    );
    this.store.add(journalView.onOwned((owned) => this.becomeOwner(owned.ownership)));
    // Shards that were owned before this object was created.
    Array.from({ length: journalView.shardCount }, (unused, shard) => journalView.owned(shard))
      .filter((owned) => owned !== undefined)
      .forEach((owned) => this.becomeOwner(owned.ownership));
    this.store.add(journalView.onLost((shard) => this.limitsOf(shard).stopOwner()));
    this.store.add(view.onChange(() => this.shards.forEach((limits) => limits.updateLimits())));
  }

  /** Continues in a new epoch when this process has renewed its own claim. */
  private continueRenewed(ownership: journal.Ownership): void {
    const { network, journal: journalView } = this.options;
    const isOwn = ownership.owner.incarnation === network.self.incarnation;
    if (isOwn && journalView.owned(ownership.shard) !== undefined) this.becomeOwner(ownership);
  }

  /**
   * Asks the owner for a token. Returns `pending` when no owner is known, on a timeout, or when a
   * new claim of the shard is seen.
   */
  private async requestGrant(shard: number, item: GrantItem): Promise<GrantResult> {
    const address = this.route.addressOf(shard);
    if (address === undefined) return { kind: messages.GRANT_RESULT_KINDS.PENDING };
    const { requestId, workspace, timeoutMs } = item;
    const stop = new AbortController();
    const undecided = { kind: messages.GRANT_RESULT_KINDS.PENDING };
    const result = await Promise.race([
      this.batcher.request(address, { requestId, workspace, timeoutMs }),
      this.route.waitForChange(shard, stop.signal).then(() => undecided),
      this.options.clock.sleep(timeoutMs, stop.signal).then(() => undecided),
    ]);
    stop.abort();
    return result;
  }

  /**
   * Responds when all requests are decided, but no later than LINGER_MS after the first decision
   * and MAXIMUM_WAIT_MS in total. Requests that are not decided by then get `pending`.
   */
  private async handleGrant(
    request: messages.GrantRequest,
  ): Promise<trueMyth.Result<messages.GrantResponse, never>> {
    const { clock: time } = this.options;
    const stop = new AbortController();
    const decisions = request.items.map((item) => this.decide(item));
    const undecided = Promise.race([
      time.sleep(MAXIMUM_WAIT_MS, stop.signal),
      Promise.race(decisions).then(() => time.sleep(grantTimings.LINGER_MS, stop.signal)),
    ]).then(() => ({ kind: messages.GRANT_RESULT_KINDS.PENDING }));
    const answers = await Promise.all(
      decisions.map((decision) => Promise.race([decision, undecided])),
    );
    stop.abort();
    return trueMyth.Result.ok({ answers });
  }

  private decide(item: GrantItem): Promise<GrantResult> {
    const shard = this.options.journal.shardOf(`workspace:${item.workspace}`);
    const { owner } = this.limitsOf(shard);
    if (owner) {
      const id = `${item.workspace} ${item.requestId}`;
      return this.cache.get(id, () => owner.request(item));
    }
    const ownership = this.options.journal.ownership(shard);
    if (ownership) this.considerActingOwner(ownership);
    const kind = messages.GRANT_RESULT_KINDS.NOT_OWNER;
    return Promise.resolve(ownership ? { kind, ownership } : { kind });
  }

  /**
   * If the owner has ended while the log is unavailable, this standby asks the members to agree
   * that it replaces the owner.
   */
  private considerActingOwner(ownership: journal.Ownership): void {
    const { shard, owner } = ownership;
    const { membership: members, journal: journalView } = this.options;
    const isSurvivor =
      this.limitsOf(shard).currentReplica?.epoch === ownership.epoch &&
      holderHistory.hasHolderEnded(members, owner) &&
      !journalView.isLogAvailable();
    if (!isSurvivor || this.pendingAgreements.has(shard)) return;
    this.pendingAgreements.add(shard);
    this.runTask(this.actAsOwner(ownership).finally(() => this.pendingAgreements.delete(shard)));
  }

  private async actAsOwner({ shard, epoch }: journal.Ownership): Promise<void> {
    const limits = this.limitsOf(shard);
    if (!(await this.agreement.obtain(shard, epoch)) || limits.knownEpoch !== epoch) return;
    const owner = limits.becomeActingOwner();
    if (!owner) return;
    this.options.logger.warn('The standby continues without the owner.', { shard, epoch });
    owner.enterSoloMode(true);
    this.runTask(this.runOwner(shard, owner, undefined));
  }

  private becomeOwner(ownership: journal.Ownership): void {
    const { shard, epoch } = ownership;
    const owner = this.limitsOf(shard).becomeOwner(ownership);
    if (!owner) return;
    this.options.logger.info('This process owns the buckets of a shard.', { shard, epoch });
    this.runTask(this.runOwner(shard, owner, ownership));
  }

  private async runOwner(
    shard: number,
    owner: bucketOwner.BucketOwner,
    ownership: journal.Ownership | undefined,
  ): Promise<void> {
    const {
      network,
      membership: members,
      journal: journalView,
      clock: time,
      logger,
    } = this.options;
    const task = new ownerTask.OwnerTask({
      shard,
      limits: this.limitsOf(shard),
      owner,
      network,
      members,
      journal: journalView,
      agreement: this.agreement,
      clock: time,
      logger,
      signal: this.stopping.signal,
      ownership,
    });
    await task.run();
  }

  private runTask(task: Promise<void>): void {
    const guarded = task.catch((error: unknown) => {
      this.options.logger.error('A limits task failed.', { reason: String(error) });
    });
    this.tasks.add(guarded);
    guarded.finally(() => this.tasks.delete(guarded));
  }

  private handleRelease(request: messages.ReleaseRequest): messages.ReleaseResponse {
    const limits = this.limitsOf(request.shard);
    const state = limits.release(request.epoch);
    if (request.ownership) this.route.learn(omitAbsentStandby(request.ownership));
    const { name, incarnation } = this.self;
    return { name, incarnation, knownEpoch: limits.knownEpoch, ...(state ? { state } : {}) };
  }

  private limitsOf(shard: number): shardLimits.ShardLimits {
    const known = this.shards.get(shard);
    if (known) return known;
    const limits = new shardLimits.ShardLimits({
      shard,
      self: this.self,
      members: this.options.membership,
      clock: this.options.clock,
      limitOf: (workspace) => this.limitOf(workspace),
      onDecision: (event) => this.decisions.fire(event),
    });
    this.shards.set(shard, limits);
    const ownership = this.options.journal.ownership(shard);
    if (ownership) limits.learn(ownership);
    return limits;
  }

  private limitOf(workspace: string): WorkspaceLimit | undefined {
    return this.options.configuration.current().workspaces.get(workspace);
  }
}

function createRefusal(result: GrantResult): trueMyth.Result<void, errors.Fault> {
  const retryAfterMs = result.retryAfterMs ?? errors.ERROR_KINDS['rate-limited'].retryAfterMs;
  return trueMyth.Result.err(errors.createFault('rate-limited', undefined, { retryAfterMs }));
}

/** Omits `standby` if the codec has decoded it as undefined. */
function omitAbsentStandby(ownership: NonNullable<GrantResult['ownership']>): journal.Ownership {
  const { shard, epoch, owner, standby } = ownership;
  return { shard, epoch, owner, ...(standby ? { standby } : {}) };
}
