import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as unreleasedTokens from './UnreleasedTokens.js';
import * as messages from './messages.js';
import type { GrantItem, Holder, ReplicateRequest, ReplicateResponse } from './messages.js';
import * as ownedBucket from './OwnedBucket.js';
import * as tokenBucket from './TokenBucket.js';
import type { DecisionEvent, LimitLookup } from './Types.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Length of the catch-up period after a takeover. Requests may wait for tokens in it, as requests
 * during the takeover had to.
 */
const CATCH_UP_MS = 10_000;

/** Maximum time that a request may wait for its token in the catch-up period. */
const MAXIMUM_CATCH_UP_WAIT_MS = 2_000;

/** Dependencies and settings of the owner of a shard's buckets. */
export interface BucketOwnerOptions {
  readonly shard: number;
  readonly epoch: number;
  readonly self: Holder;
  /** Undefined when the claim names no standby. */
  readonly standby: Holder | undefined;
  readonly state: messages.ShardState;
  /** Whether another process owned the shard before. If so, requests may have been delayed. */
  readonly isTakeover: boolean;
  /**
   * The end of the catch-up period of the previous epoch, if this process has renewed its own
   * claim.
   */
  readonly catchUpEndsAt: clock.Milliseconds | undefined;
  readonly clock: clock.Clock;
  readonly limitOf: LimitLookup;
  readonly onDecision: (event: DecisionEvent) => void;
}

/** A shard's buckets at their owner, in one epoch. */
export class BucketOwner {
  /** Fires when the standby needs an update or a request starts to wait. */
  public readonly changed = new lifetime.Emitter<void>();

  private readonly buckets = new Map<string, ownedBucket.OwnedBucket>();

  private readonly dirty = new Set<string>();

  private held!: unreleasedTokens.UnreleasedTokens;

  private emptySince: clock.Milliseconds | undefined;

  private sequence = 0;

  private standbyIsComplete = false;

  private headerIsDirty = true;

  private solo = false;

  private catchUpEnd: clock.Milliseconds = 0;

  private isStopped = false;

  public constructor(private readonly options: BucketOwnerOptions) {
    this.restart(options.state);
  }

  public get epoch(): number {
    return this.options.epoch;
  }

  public get standby(): Holder | undefined {
    return this.options.standby;
  }

  /** Tokens that holders of earlier epochs may still grant. */
  public get unreleasedEntries(): readonly messages.UnreleasedEntry[] {
    return this.held.entries;
  }

  /** The end of the catch-up period, in which requests may wait for tokens. */
  public get catchUpEndsAt(): clock.Milliseconds {
    return this.catchUpEnd;
  }

  /**
   * Whether no tokens can be granted yet, because it is unknown how many tokens earlier holders may
   * still grant.
   */
  public get isResolving(): boolean {
    return this.held.isUnlimited;
  }

  /** Whether there are changes to replicate to the standby. */
  public get isDirty(): boolean {
    return !this.isStopped && !this.solo && (this.headerIsDirty || this.dirty.size > 0);
  }

  public get isSolo(): boolean {
    return this.solo;
  }

  public get hasWaiting(): boolean {
    return [...this.buckets.values()].some((bucket) => bucket.hasWaiting);
  }

  /**
   * Loads the state of the previous epoch. Allowed only while no token has been granted in this
   * epoch.
   */
  public restart(state: messages.ShardState): void {
    const now = this.options.clock.now();
    this.abandonWaiting();
    this.buckets.clear();
    this.held = new unreleasedTokens.UnreleasedTokens(state.held);
    this.held.remove(this.options.self);
    this.emptySince = state.emptyForMs === undefined ? undefined : now - state.emptyForMs;
    state.buckets.forEach(({ workspace, level }) => {
      this.addBucket(workspace, level);
      // Sends the bucket even if the response to an earlier message marks the standby as complete.
      this.dirty.add(workspace);
    });
    this.standbyIsComplete = false;
    const { isTakeover, catchUpEndsAt } = this.options;
    this.catchUpEnd = isTakeover ? now + CATCH_UP_MS : (catchUpEndsAt ?? now);
    this.markHeaderDirty();
  }

  /** Grants newly accrued tokens to waiting requests. */
  public grantWaiting(): void {
    this.buckets.forEach((bucket, workspace) => {
      if (bucket.hasWaiting) this.authorize(workspace, this.refilledBucket(workspace));
    });
  }

  /** Decides a request, immediately or after the standby has acknowledged tokens. */
  public request(item: GrantItem): Promise<messages.GrantResult> {
    const { clock: time, limitOf } = this.options;
    if (this.isStopped || !limitOf(item.workspace)) {
      return Promise.resolve({ kind: messages.GRANT_RESULT_KINDS.PENDING });
    }
    const bucket = this.refilledBucket(item.workspace);
    const expiresAt = time.now() + item.timeoutMs;
    return new Promise((decide) => {
      bucket.enqueue({ decide, expiresAt }, this.contextOf(item.workspace));
      this.authorize(item.workspace, bucket);
      if (bucket.hasWaiting) this.changed.fire();
    });
  }

  /** Creates the next message to the standby and marks its contents as sent. */
  public createReplication(): ReplicateRequest {
    const { shard, epoch, self, standby } = this.options;
    const names = this.standbyIsComplete ? [...this.dirty] : [...this.buckets.keys()];
    this.dirty.clear();
    this.headerIsDirty = false;
    this.sequence += 1;
    return {
      shard,
      epoch,
      sequence: this.sequence,
      owner: self,
      standby: standby!,
      complete: !this.standbyIsComplete,
      buckets: names.map((name) => this.refilledBucket(name).toReplicated(name)),
      held: [...this.held.entries],
      emptyForMs: this.emptyForMs(),
    };
  }

  /** Applies the standby's response. */
  public applyAcknowledgement(request: ReplicateRequest, response: ReplicateResponse): void {
    if (this.isStopped || !response.accepted) return;
    this.standbyIsComplete = response.isComplete;
    if (!response.isComplete) this.markHeaderDirty();
    response.authorized.forEach(({ workspace, tokens }) => {
      const bucket = this.refilledBucket(workspace);
      bucket.acknowledge(tokens);
      this.authorize(workspace, bucket);
    });
  }

  /**
   * Schedules the contents of a message to be sent again, because the standby may not have received
   * it.
   */
  public requeueReplication(request: ReplicateRequest): void {
    request.buckets.forEach((bucket) => this.dirty.add(bucket.workspace));
    this.headerIsDirty = true;
  }

  /** Records that a holder of an earlier epoch no longer grants tokens. */
  public recordRelease(holder: Holder): void {
    const wasResolving = this.isResolving;
    // Refill first, because the old held tokens limited the level until now.
    this.buckets.forEach((bucket, workspace) => this.refilledBucket(workspace));
    this.held.remove(holder);
    if (wasResolving && !this.isResolving) this.startEmpty();
    this.markHeaderDirty();
    this.recheckWaiting();
  }

  /**
   * Grants without a standby from now on. Set `emptyFirst` if the former owner or standby may have
   * granted tokens recently; the buckets then start empty.
   */
  public enterSoloMode(emptyFirst: boolean): void {
    if (this.solo || this.isStopped) return;
    this.solo = true;
    if (emptyFirst) this.startEmpty();
    this.buckets.forEach((bucket, workspace) => {
      this.refilledBucket(workspace);
      if (emptyFirst) bucket.discardUnacknowledged();
      bucket.acknowledgeAll();
    });
    this.recheckWaiting();
  }

  /** Applies the limits of the current configuration. */
  public updateLimits(): void {
    this.buckets.forEach((bucket, workspace) => {
      this.refilledBucket(workspace);
      bucket.setLimit(this.options.limitOf(workspace));
      this.dirty.add(workspace);
    });
    this.recheckWaiting();
    this.changed.fire();
  }

  /** Stops granting, permanently. */
  public stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.abandonWaiting();
    this.changed.fire();
  }

  /**
   * Returns the state for the next owner. The levels include authorized tokens that were not
   * granted. Call `stop` first.
   */
  public exportState(): messages.ShardState {
    const names = [...this.buckets.keys()];
    return {
      epoch: this.epoch,
      buckets: names.map((workspace) => ({
        workspace,
        level: this.refilledBucket(workspace).remaining(),
      })),
      held: [...this.held.entries],
      emptyForMs: this.emptyForMs(),
    };
  }

  private emptyForMs(): clock.Milliseconds | undefined {
    if (this.isResolving) return 0;
    return this.emptySince === undefined ? undefined : this.options.clock.now() - this.emptySince;
  }

  private startEmpty(): void {
    const now = this.options.clock.now();
    this.emptySince = now;
    this.catchUpEnd = now + CATCH_UP_MS;
  }

  private contextOf(workspace: string): ownedBucket.DecisionContext {
    const now = this.options.clock.now();
    const isCatchingUp = now < this.catchUpEnd;
    return {
      now,
      unreleasedTokens: this.held.tokensOf(workspace),
      maximumWaitMs: isCatchingUp ? MAXIMUM_CATCH_UP_WAIT_MS : 0,
    };
  }

  private abandonWaiting(): void {
    this.buckets.forEach((bucket) => bucket.abandonWaiting());
  }

  private recheckWaiting(): void {
    this.buckets.forEach((bucket, workspace) => {
      bucket.refill(this.options.clock.now(), this.held.tokensOf(workspace));
      bucket.recheckWaiting(this.contextOf(workspace));
      this.authorize(workspace, bucket);
    });
  }

  private authorize(workspace: string, bucket: ownedBucket.OwnedBucket): void {
    if (this.isStopped || this.isResolving || !bucket.authorize()) return;
    if (this.solo) {
      bucket.acknowledgeAll();
      return;
    }
    this.dirty.add(workspace);
    this.changed.fire();
  }

  private markHeaderDirty(): void {
    this.headerIsDirty = true;
    this.changed.fire();
  }

  private refilledBucket(workspace: string): ownedBucket.OwnedBucket {
    const bucket = this.buckets.get(workspace) ?? this.addBucket(workspace);
    bucket.refill(this.options.clock.now(), this.held.tokensOf(workspace));
    return bucket;
  }

  private addBucket(workspace: string, level?: number): ownedBucket.OwnedBucket {
    const { clock: time, limitOf, onDecision } = this.options;
    const limit = limitOf(workspace);
    const startLevel = level ?? this.initialLevel(workspace);
    const bucket = new ownedBucket.OwnedBucket(
      new tokenBucket.TokenBucket(startLevel, time.now(), limit),
      (granted) => onDecision({ workspace, granted }),
    );
    this.buckets.set(workspace, bucket);
    return bucket;
  }

  /**
   * Returns the level of a bucket that the loaded state does not list and that has had no request
   * since.
   */
  private initialLevel(workspace: string): number {
    const limit = this.options.limitOf(workspace);
    if (!limit || this.isResolving) return 0;
    if (this.emptySince === undefined) return limit.burst;
    const elapsed = this.options.clock.now() - this.emptySince;
    return Math.min(limit.burst, (elapsed / MILLISECONDS_PER_SECOND) * limit.ratePerSecond);
  }
}
