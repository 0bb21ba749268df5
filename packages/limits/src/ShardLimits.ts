import type * as clock from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as bucketOwner from './BucketOwner.js';
import * as bucketStandby from './BucketStandby.js';
import * as heldAmounts from './HeldAmounts.js';
import * as holderHistory from './HolderHistory.js';
import type {
  AloneRequest,
  AloneResponse,
  HeldEntry,
  Holder,
  ReplicateRequest,
  ReplicateResponse,
  ShardState,
} from './messages.js';
import type { DecisionEvent, LimitLookup } from './Types.js';

/** What the limits of one shard need. */
export interface ShardLimitsOptions {
  readonly shard: number;
  readonly self: Holder;
  readonly members: holderHistory.MemberView;
  readonly clock: clock.Clock;
  readonly limitOf: LimitLookup;
  readonly onDecision: (event: DecisionEvent) => void;
}

type OwnerStart = Pick<
  bucketOwner.BucketOwnerOptions,
  'standby' | 'state' | 'isTakeover' | 'catchUpUntil'
>;

/**
 * This process's part in one shard: owner of its buckets, standby, or neither. Everything here
 * happens in one turn of the event loop; no method waits.
 */
export class ShardLimits {
  private epoch = 0;

  /** Epochs up to this one are not acknowledged, because this process claims the next. */
  private claimedAfter = -1;

  private ownerState: bucketOwner.BucketOwner | undefined;

  private ownerIsStopped = false;

  private replica: bucketStandby.BucketStandby | undefined;

  /** Survivors of a pair that may grant without bound until they acknowledge. */
  private survivors: readonly HeldEntry[] = [];

  private readonly history: holderHistory.HolderHistory;

  public constructor(private readonly options: ShardLimitsOptions) {
    this.history = new holderHistory.HolderHistory(options.members);
  }

  /** The latest epoch known here. */
  public get knownEpoch(): number {
    return this.epoch;
  }

  /** The buckets, when this process may grant from them. */
  public get owner(): bucketOwner.BucketOwner | undefined {
    return this.ownerIsStopped ? undefined : this.ownerState;
  }

  /** The replica of the current epoch, when it is complete. */
  public get currentReplica(): bucketStandby.BucketStandby | undefined {
    const { replica } = this;
    return replica?.epoch === this.epoch && replica.isComplete ? replica : undefined;
  }

  /** Notes a claim that has been seen. */
  public learn(ownership: journal.Ownership): void {
    if (ownership.epoch === 0) return;
    this.history.add(ownership);
    this.observe(ownership.epoch);
    this.forgetSurvivor(ownership.owner, ownership.epoch);
  }

  /** Notes that an epoch has begun: nothing is granted or acknowledged under earlier ones. */
  public observe(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    if (this.ownerState && this.ownerState.epoch < epoch) this.stopOwner();
  }

  /** Stops granting for good in the current epoch. */
  public stopOwner(): void {
    this.ownerIsStopped = true;
    this.ownerState?.stop();
  }

  /** See `TakeoverHook.beforeClaim`. */
  public beforeClaim(supersededEpoch: number): void {
    this.claimedAfter = Math.max(this.claimedAfter, supersededEpoch, this.epoch);
  }

  /** See `TakeoverHook.claimAbandoned`. */
  public claimAbandoned(): void {
    this.claimedAfter = -1;
  }

  /** Becomes the owner under a confirmed claim. Returns nothing when it is already or too late. */
  public becomeOwner(ownership: journal.Ownership): bucketOwner.BucketOwner | undefined {
    this.learn(ownership);
    const { epoch, standby } = ownership;
    if (epoch < this.epoch || this.ownerState?.epoch === epoch) return undefined;
    const renewed = this.ownerState?.epoch === epoch - 1 ? this.ownerState : undefined;
    const isTakeover = epoch > 1 && renewed === undefined;
    const state = this.stateOf(epoch - 1) ?? this.createState(epoch);
    const extra = standby ? [] : this.holdersToAsk(epoch, state);
    const held = [...state.held, ...extra];
    const start = { standby, isTakeover, catchUpUntil: renewed?.catchUpUntil };
    return this.startOwner(epoch, { ...start, state: { ...state, held } });
  }

  /** Takes the state of a holder that has acknowledged, while this owner knows none. */
  public adopt(state: ShardState, from: Holder): void {
    const { owner } = this;
    if (!owner?.isResolving || state.epoch !== owner.epoch - 1) return;
    const extra = owner.standby ? [] : this.holdersToAsk(owner.epoch, state);
    const complete = this.withSurvivors({ ...state, held: [...state.held, ...extra] });
    const held = complete.held.filter(
      ({ holder }) => !this.hasEnded(holder) && !heldAmounts.isSameHolder(holder, from),
    );
    owner.restart({ ...complete, held });
  }

  /** Goes on as the owner in the standby's place, after the owner has ended and the log is down. */
  public becomeActingOwner(): bucketOwner.BucketOwner | undefined {
    const replica = this.currentReplica;
    if (!replica) return undefined;
    const state = replica.exportState();
    const start = { standby: undefined, isTakeover: true, catchUpUntil: undefined };
    return this.startOwner(replica.epoch, { ...start, state });
  }

  /** Answers the owner as its standby. */
  public replicate(request: ReplicateRequest): ReplicateResponse {
    this.observe(request.epoch);
    this.forgetSurvivor(request.owner, request.epoch);
    const isRefused =
      request.epoch < this.epoch ||
      request.epoch <= this.claimedAfter ||
      this.owner !== undefined ||
      !heldAmounts.isSameHolder(request.standby, this.options.self);
    if (isRefused) {
      return { accepted: false, knownEpoch: this.epoch, isComplete: false, authorized: [] };
    }
    const replica = this.replicaOf(request);
    replica.apply(request);
    const authorized = request.buckets.map(({ workspace }) => ({
      workspace,
      tokens: replica.authorized(workspace),
    }));
    const { isComplete } = replica;
    return { accepted: true, knownEpoch: this.epoch, isComplete, authorized };
  }

  /** Stops under all epochs before the given one, and hands over the state of the last of them. */
  public release(epoch: number): ShardState | undefined {
    this.observe(epoch);
    return epoch < this.epoch ? undefined : this.stateOf(epoch - 1);
  }

  /** Notes that the survivor of a pair goes on alone. */
  public acceptSurvivor(request: AloneRequest): AloneResponse {
    const accepted = request.epoch >= this.epoch;
    this.observe(request.epoch);
    if (accepted) {
      const entry = heldAmounts.createUnlimitedEntry(request.holder, request.epoch);
      const others = this.survivors.filter(({ holder }) => !this.hasEnded(holder));
      this.survivors = [...others, entry];
    }
    return { accepted, knownEpoch: this.epoch };
  }

  /** Notes that a holder has stopped under all epochs before this process's own. */
  public dropHeld(holder: Holder): void {
    this.survivors = this.survivors.filter(
      (entry) => !heldAmounts.isSameHolder(entry.holder, holder),
    );
    this.owner?.dropHeld(holder);
  }

  /** Brings the limits of the configuration into force. */
  public updateLimits(): void {
    this.owner?.updateLimits();
    this.replica?.updateLimits();
  }

  private startOwner(epoch: number, start: OwnerStart): bucketOwner.BucketOwner {
    const { shard, self, clock: time, limitOf, onDecision } = this.options;
    this.ownerState = new bucketOwner.BucketOwner({
      shard,
      epoch,
      self,
      ...start,
      state: this.withSurvivors(start.state),
      clock: time,
      limitOf,
      onDecision,
    });
    this.ownerIsStopped = false;
    return this.ownerState;
  }

  /** The state that this process has of an epoch that is over. */
  private stateOf(epoch: number): ShardState | undefined {
    if (this.ownerState?.epoch === epoch) {
      this.stopOwner();
      return this.withSurvivors(this.ownerState.exportState());
    }
    const { replica } = this;
    if (replica?.epoch !== epoch || !replica.isComplete) return undefined;
    return this.withSurvivors(replica.exportState());
  }

  private createState(epoch: number): ShardState {
    if (epoch === 1) return { epoch: 0, buckets: [], held: [] };
    const held = this.history
      .earlierHolders(epoch)
      .map((holder) => heldAmounts.createUnlimitedEntry(holder, epoch - 1));
    return { epoch: epoch - 1, buckets: [], held, emptyForMs: 0 };
  }

  /** An owner without a standby asks all earlier holders, also those that can grant nothing. */
  private holdersToAsk(epoch: number, state: ShardState): readonly HeldEntry[] {
    return this.history
      .earlierHolders(epoch)
      .filter(
        (holder) => !state.held.some((entry) => heldAmounts.isSameHolder(entry.holder, holder)),
      )
      .map((holder) => heldAmounts.createEmptyEntry(holder, epoch - 1));
  }

  private withSurvivors(state: ShardState): ShardState {
    const survivors = this.survivors.filter(
      ({ holder, epoch }) =>
        epoch <= state.epoch && !heldAmounts.isSameHolder(holder, this.options.self),
    );
    return { ...state, held: [...state.held, ...survivors] };
  }

  /** A survivor that owns the shard under a later epoch has stopped under its earlier one. */
  private forgetSurvivor(owner: Holder, epoch: number): void {
    this.survivors = this.survivors.filter(
      (entry) => entry.epoch >= epoch || !heldAmounts.isSameHolder(entry.holder, owner),
    );
  }

  private replicaOf(request: ReplicateRequest): bucketStandby.BucketStandby {
    if (this.replica?.epoch === request.epoch) return this.replica;
    const { clock: time, limitOf } = this.options;
    const { epoch, owner } = request;
    this.replica = new bucketStandby.BucketStandby(epoch, owner, time, limitOf);
    return this.replica;
  }

  private hasEnded(holder: Holder): boolean {
    return holderHistory.hasHolderEnded(this.options.members, holder);
  }
}
