import * as nodeEvents from 'node:events';

import type * as clock from '@limpettack/clock';
import type * as configuration from '@limpettack/configuration';
import * as errors from '@limpettack/errors';
import type * as journal from '@limpettack/journal';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as aloneAgreement from './AloneAgreement.js';
import * as askTimes from './askTimes.js';
import type * as bucketOwner from './BucketOwner.js';
import * as decisionCache from './DecisionCache.js';
import * as grantBatcher from './GrantBatcher.js';
import * as holderHistory from './HolderHistory.js';
import * as messages from './messages.js';
import type { GrantAnswer, GrantItem, Holder } from './messages.js';
import * as ownerRoute from './OwnerRoute.js';
import * as ownerTask from './OwnerTask.js';
import * as shardLimits from './ShardLimits.js';
import type {
  Admission,
  AdmissionRequest,
  DecisionEvent,
  JournalView,
  TakeoverHook,
  WorkspaceLimit,
} from './Types.js';

/** How long an owner lets a message wait for the answers to all of its requests. */
const LONGEST_WAIT_MS = 50;

/** Time for a message with requests, the wait at the owner included. */
const GRANT_TIMEOUT_MS = 1_000;

/** What the limits need. */
export interface FleetAdmissionOptions {
  readonly network: wire.PeerNetwork;
  readonly journal: JournalView;
  readonly configuration: Pick<configuration.ConfigurationView, 'current' | 'onChange'>;
  readonly membership: holderHistory.MemberView;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/** Admits requests at any VM and keeps the buckets of the shards that this process owns. */
export class FleetAdmission implements Admission, TakeoverHook {
  /** Fires for each decision that this process makes as the owner of a bucket. */
  public readonly onDecision: lifetime.Event<DecisionEvent>;

  private readonly store = new lifetime.DisposableStore();

  private readonly stopping = new AbortController();

  private readonly decisions = new lifetime.Emitter<DecisionEvent>();

  private readonly shards = new Map<number, shardLimits.ShardLimits>();

  private readonly tasks = new Set<Promise<void>>();

  private readonly self: Holder;

  private readonly cache: decisionCache.DecisionCache;

  private readonly batcher: grantBatcher.GrantBatcher;

  private readonly route: ownerRoute.OwnerRoute;

  private readonly agreement: aloneAgreement.AloneAgreement;

  /** Shards whose owner has ended and for which agreement to go on is being sought. */
  private readonly seeking = new Set<number>();

  public constructor(private readonly options: FleetAdmissionOptions) {
    const { network, membership: members, clock: time } = options;
    const { name, incarnation, address } = network.self;
    this.self = { name, incarnation, address };
    this.onDecision = this.decisions.event;
    this.cache = new decisionCache.DecisionCache(time);
    this.batcher = new grantBatcher.GrantBatcher(network, GRANT_TIMEOUT_MS);
    this.route = new ownerRoute.OwnerRoute(options.journal, members, time);
    this.agreement = new aloneAgreement.AloneAgreement(network, members, this.self);
    this.store.add(this.decisions);
    // Each owned shard has tasks that end by this signal.
    nodeEvents.EventEmitter.setMaxListeners(0, this.stopping.signal);
    this.serve();
    this.follow();
  }

  /** @inheritdoc */
  public async admit(request: AdmissionRequest): Promise<trueMyth.Result<void, errors.Fault>> {
    const { clock: time, journal: journalView } = this.options;
    const shard = journalView.shardOf(`workspace:${request.workspace}`);
    const deadline = time.now() + request.timeoutMs;
    let remaining = request.timeoutMs;
    while (remaining > 0 && !this.stopping.signal.aborted) {
      const answer = await this.ask(shard, { ...request, timeoutMs: remaining });
      if (answer.kind === messages.ANSWER_KINDS.GRANTED) return trueMyth.Result.ok(undefined);
      if (answer.kind === messages.ANSWER_KINDS.REFUSED) return refuse(answer);
      if (answer.ownership) this.route.learn(withoutAbsent(answer.ownership));
      await this.route.beforeAskingAgain(shard, deadline - time.now());
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

  private serve(): void {
    const { network } = this.options;
    this.store.add(network.serve(messages.GRANT, (request) => this.answerGrants(request)));
    this.store.add(
      network.serve(messages.REPLICATE, async (request) =>
        trueMyth.Result.ok(this.limitsOf(request.shard).replicate(request)),
      ),
    );
    this.store.add(
      network.serve(messages.RELEASE, async (request) =>
        trueMyth.Result.ok(this.answerRelease(request)),
      ),
    );
    this.store.add(
      network.serve(messages.ALONE, async (request) =>
        trueMyth.Result.ok(this.limitsOf(request.shard).acceptSurvivor(request)),
      ),
    );
  }

  private follow(): void {
    const { journal: journalView, configuration: view } = this.options;
    this.store.add(
      journalView.onOwnershipChange((ownership) => {
        this.limitsOf(ownership.shard).learn(ownership);
        this.ownRenewed(ownership);
      }),
    );
    this.store.add(journalView.onOwned((owned) => this.own(owned.ownership)));
    // Shards that were owned before this part was made.
    Array.from({ length: journalView.shardCount }, (unused, shard) => journalView.owned(shard))
      .filter((owned) => owned !== undefined)
      .forEach((owned) => this.own(owned.ownership));
    this.store.add(journalView.onLost((shard) => this.limitsOf(shard).stopOwner()));
    this.store.add(view.onChange(() => this.shards.forEach((limits) => limits.updateLimits())));
  }

  /** Goes on under a new epoch when this process has renewed its own claim. */
  private ownRenewed(ownership: journal.Ownership): void {
    const { network, journal: journalView } = this.options;
    const isOwn = ownership.owner.incarnation === network.self.incarnation;
    if (isOwn && journalView.owned(ownership.shard) !== undefined) this.own(ownership);
  }

  /** Asks the owner, and gives up on the answer when another claim is seen. */
  private async ask(shard: number, item: GrantItem): Promise<GrantAnswer> {
    const address = this.route.addressOf(shard);
    if (address === undefined) return { kind: messages.ANSWER_KINDS.PENDING };
    const { requestId, workspace, timeoutMs } = item;
    const stop = new AbortController();
    const undecided = { kind: messages.ANSWER_KINDS.PENDING };
    const answer = await Promise.race([
      this.batcher.ask(address, { requestId, workspace, timeoutMs }),
      this.route.untilChange(shard, stop.signal).then(() => undecided),
      this.options.clock.sleep(timeoutMs, stop.signal).then(() => undecided),
    ]);
    stop.abort();
    return answer;
  }

  /** Answers when all is decided; when only some is, the others are not waited for. */
  private async answerGrants(
    request: messages.GrantRequest,
  ): Promise<trueMyth.Result<messages.GrantResponse, never>> {
    const { clock: time } = this.options;
    const stop = new AbortController();
    const decisions = request.items.map((item) => this.decide(item));
    const undecided = Promise.race([
      time.sleep(LONGEST_WAIT_MS, stop.signal),
      Promise.race(decisions).then(() => time.sleep(askTimes.LINGER_MS, stop.signal)),
    ]).then(() => ({ kind: messages.ANSWER_KINDS.PENDING }));
    const answers = await Promise.all(
      decisions.map((decision) => Promise.race([decision, undecided])),
    );
    stop.abort();
    return trueMyth.Result.ok({ answers });
  }

  private decide(item: GrantItem): Promise<GrantAnswer> {
    const shard = this.options.journal.shardOf(`workspace:${item.workspace}`);
    const { owner } = this.limitsOf(shard);
    if (owner) {
      const id = `${item.workspace} ${item.requestId}`;
      return this.cache.get(id, () => owner.ask(item));
    }
    const ownership = this.options.journal.ownership(shard);
    if (ownership) this.considerActing(ownership);
    const kind = messages.ANSWER_KINDS.NOT_OWNER;
    return Promise.resolve(ownership ? { kind, ownership } : { kind });
  }

  /** During an outage of the log the standby goes on when the owner has ended. */
  private considerActing(ownership: journal.Ownership): void {
    const { shard, owner } = ownership;
    const { membership: members, journal: journalView } = this.options;
    const isSurvivor =
      this.limitsOf(shard).currentReplica?.epoch === ownership.epoch &&
      holderHistory.hasHolderEnded(members, owner) &&
      !journalView.isLogAvailable();
    if (!isSurvivor || this.seeking.has(shard)) return;
    this.seeking.add(shard);
    this.runTask(this.actAsOwner(ownership).finally(() => this.seeking.delete(shard)));
  }

  private async actAsOwner({ shard, epoch }: journal.Ownership): Promise<void> {
    const limits = this.limitsOf(shard);
    if (!(await this.agreement.seek(shard, epoch)) || limits.knownEpoch !== epoch) return;
    const owner = limits.becomeActingOwner();
    if (!owner) return;
    this.options.logger.warn('The standby goes on without the owner.', { shard, epoch });
    owner.goAlone(true);
    this.runTask(this.runOwner(shard, owner, undefined));
  }

  private own(ownership: journal.Ownership): void {
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
      this.options.logger.error('A task of the limits failed.', { reason: String(error) });
    });
    this.tasks.add(guarded);
    guarded.finally(() => this.tasks.delete(guarded));
  }

  private answerRelease(request: messages.ReleaseRequest): messages.ReleaseResponse {
    const limits = this.limitsOf(request.shard);
    const state = limits.release(request.epoch);
    if (request.ownership) this.route.learn(withoutAbsent(request.ownership));
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

function refuse(answer: GrantAnswer): trueMyth.Result<void, errors.Fault> {
  const retryAfterMs = answer.retryAfterMs ?? errors.ERROR_KINDS['rate-limited'].retryAfterMs;
  return trueMyth.Result.err(errors.createFault('rate-limited', undefined, { retryAfterMs }));
}

/** Drops the field that the codec may have made undefined. */
function withoutAbsent(ownership: NonNullable<GrantAnswer['ownership']>): journal.Ownership {
  const { shard, epoch, owner, standby } = ownership;
  return { shard, epoch, owner, ...(standby ? { standby } : {}) };
}
