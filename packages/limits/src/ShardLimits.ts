import type * as clock from '@limpettack/clock';
import type * as journal from '@limpettack/journal';
import * as bucketOwner from './BucketOwner.js';
import * as bucketStandby from './BucketStandby.js';
import * as unreleasedTokens from './UnreleasedTokens.js';
import * as holderHistory from './HolderHistory.js';
import type {
  SoloRequest,
  SoloResponse,
  UnreleasedEntry,
  Holder,
  ReplicateRequest,
  ReplicateResponse,
  ShardState,
} from './messages.js';
import type { DecisionEvent, LimitLookup } from './Types.js';

/** Dependencies and settings of the limits of one shard. */
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
  'standby' | 'state' | 'isTakeover' | 'catchUpEndsAt'
>;

/**
 * This process's role for one shard: owner of its buckets, standby, or neither. All methods are
 * synchronous, so each runs within one turn of the event loop.
 */
export class ShardLimits {
  private epoch = 0;

  /** Replication up to this epoch is refused while this process is claiming the next one. */
  private highestRefusedEpoch = -1;

  private ownerState: bucketOwner.BucketOwner | undefined;

  private ownerIsStopped = false;

  private replica: bucketStandby.BucketStandby | undefined;

  /**
   * Survivors in solo mode. They may grant without a known bound until they acknowledge their
   * release.
   */
  private survivors: readonly UnreleasedEntry[] = [];

  private readonly history: holderHistory.HolderHistory;

  public constructor(private readonly options: ShardLimitsOptions) {
    this.history = new holderHistory.HolderHistory(options.members);
  }

  /** The latest epoch known to this process. */
  public get knownEpoch(): number {
    return this.epoch;
  }

  /** The buckets, if this process may grant from them. */
  public get owner(): bucketOwner.BucketOwner | undefined {
    return this.ownerIsStopped ? undefined : this.ownerState;
  }

  /** The replica of the current epoch, if it is complete. */
  public get currentReplica(): bucketStandby.BucketStandby | undefined {
    const { replica } = this;
    return replica?.epoch === this.epoch && replica.isComplete ? replica : undefined;
  }

  /** Records a claim that has been seen. */
  public learn(ownership: journal.Ownership): void {
    if (ownership.epoch === 0) return;
    this.history.add(ownership);
    this.observe(ownership.epoch);
    this.removeSurvivor(ownership.owner, ownership.epoch);
  }

  /**
   * Records that an epoch has begun. This process then neither grants nor acknowledges in earlier
   * ones.
   */
  public observe(epoch: number): void {
    if (epoch <= this.epoch) return;
    this.epoch = epoch;
    if (this.ownerState && this.ownerState.epoch < epoch) this.stopOwner();
  }

  /** Stops granting permanently in the current epoch. */
  public stopOwner(): void {
    this.ownerIsStopped = true;
    this.ownerState?.stop();
  }

  /** See `TakeoverHook.beforeClaim`. */
  public beforeClaim(supersededEpoch: number): void {
    this.highestRefusedEpoch = Math.max(this.highestRefusedEpoch, supersededEpoch, this.epoch);
  }

  /** See `TakeoverHook.claimAbandoned`. */
  public claimAbandoned(): void {
    this.highestRefusedEpoch = -1;
  }

  /**
   * Becomes the owner under a confirmed claim. Returns undefined if this process already is the
   * owner in that epoch or knows a later one.
   */
  public becomeOwner(ownership: journal.Ownership): bucketOwner.BucketOwner | undefined {
    this.learn(ownership);
    const { epoch, standby } = ownership;
    if (epoch < this.epoch || this.ownerState?.epoch === epoch) return undefined;
    const renewed = this.ownerState?.epoch === epoch - 1 ? this.ownerState : undefined;
    const isTakeover = epoch > 1 && renewed === undefined;
    const state = this.stateOf(epoch - 1) ?? this.createState(epoch);
    const extra = standby ? [] : this.holdersToRelease(epoch, state);
    const held = [...state.held, ...extra];
    const start = { standby, isTakeover, catchUpEndsAt: renewed?.catchUpEndsAt };
    return this.startOwner(epoch, { ...start, state: { ...state, held } });
  }

  /**
   * Adopts the state that an earlier holder returned when it was released. Only done while this
   * owner cannot grant, because the grants of earlier holders have no known bound.
   */
  public adopt(state: ShardState, from: Holder): void {
    const { owner } = this;
    if (!owner?.isResolving || state.epoch !== owner.epoch - 1) return;
    const extra = owner.standby ? [] : this.holdersToRelease(owner.epoch, state);
    const complete = this.withSurvivors({ ...state, held: [...state.held, ...extra] });
    const held = complete.held.filter(
      ({ holder }) => !this.hasEnded(holder) && !unreleasedTokens.isSameHolder(holder, from),
    );
    owner.restart({ ...complete, held });
  }

  /**
   * Promotes this standby to acting owner, after the owner has ended while the log is unavailable.
   * Returns undefined if there is no complete replica.
   */
  public becomeActingOwner(): bucketOwner.BucketOwner | undefined {
    const replica = this.currentReplica;
    if (!replica) return undefined;
    const state = replica.exportState();
    const start = { standby: undefined, isTakeover: true, catchUpEndsAt: undefined };
    return this.startOwner(replica.epoch, { ...start, state });
  }

  /** Handles a replication request of the owner, as its standby. */
  public replicate(request: ReplicateRequest): ReplicateResponse {
    this.observe(request.epoch);
    this.removeSurvivor(request.owner, request.epoch);
    const isRefused =
      request.epoch < this.epoch ||
      request.epoch <= this.highestRefusedEpoch ||
      this.owner !== undefined ||
      !unreleasedTokens.isSameHolder(request.standby, this.options.self);
    if (isRefused) {
      return { accepted: false, knownEpoch: this.epoch, isComplete: false, authorized: [] };
    }
    const replica = this.getOrCreateReplica(request);
    replica.apply(request);
    const authorized = request.buckets.map(({ workspace }) => ({
      workspace,
      tokens: replica.authorized(workspace),
    }));
    const { isComplete } = replica;
    return { accepted: true, knownEpoch: this.epoch, isComplete, authorized };
  }

  /**
   * Stops granting in all epochs before the given one. Returns the state of the last of them, if
   * known.
   */
  public release(epoch: number): ShardState | undefined {
    this.observe(epoch);
    return epoch < this.epoch ? undefined : this.stateOf(epoch - 1);
  }

  /** Agrees that a survivor continues in solo mode, unless this process knows a later epoch. */
  public acceptSurvivor(request: SoloRequest): SoloResponse {
    const accepted = request.epoch >= this.epoch;
    this.observe(request.epoch);
    if (accepted) {
      const entry = unreleasedTokens.createUnlimitedEntry(request.holder, request.epoch);
      const others = this.survivors.filter(({ holder }) => !this.hasEnded(holder));
      this.survivors = [...others, entry];
    }
    return { accepted, knownEpoch: this.epoch };
  }

  /** Records that a holder no longer grants in epochs before that of this owner. */
  public recordRelease(holder: Holder): void {
    this.survivors = this.survivors.filter(
      (entry) => !unreleasedTokens.isSameHolder(entry.holder, holder),
    );
    this.owner?.recordRelease(holder);
  }

  /** Applies the limits of the current configuration. */
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

  /**
   * Returns this process's state of a past epoch. If it was the owner in that epoch, it stops
   * granting.
   */
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
      .map((holder) => unreleasedTokens.createUnlimitedEntry(holder, epoch - 1));
    return { epoch: epoch - 1, buckets: [], held, emptyForMs: 0 };
  }

  /**
   * Returns entries for the earlier holders that the state does not list. An owner without a
   * standby must release them too, although they can grant nothing.
   */
  private holdersToRelease(epoch: number, state: ShardState): readonly UnreleasedEntry[] {
    return this.history
      .earlierHolders(epoch)
      .filter(
        (holder) =>
          !state.held.some((entry) => unreleasedTokens.isSameHolder(entry.holder, holder)),
      )
      .map((holder) => unreleasedTokens.createEmptyEntry(holder, epoch - 1));
  }

  private withSurvivors(state: ShardState): ShardState {
    const survivors = this.survivors.filter(
      ({ holder, epoch }) =>
        epoch <= state.epoch && !unreleasedTokens.isSameHolder(holder, this.options.self),
    );
    return { ...state, held: [...state.held, ...survivors] };
  }

  /**
   * Removes a survivor that owns the shard in a later epoch, because it no longer grants in its
   * earlier one.
   */
  private removeSurvivor(owner: Holder, epoch: number): void {
    this.survivors = this.survivors.filter(
      (entry) => entry.epoch >= epoch || !unreleasedTokens.isSameHolder(entry.holder, owner),
    );
  }

  private getOrCreateReplica(request: ReplicateRequest): bucketStandby.BucketStandby {
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
