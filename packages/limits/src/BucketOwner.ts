import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import * as heldAmounts from './HeldAmounts.js';
import * as messages from './messages.js';
import type { GrantItem, Holder, ReplicateRequest, ReplicateResponse } from './messages.js';
import * as ownedBucket from './OwnedBucket.js';
import * as tokenBucket from './TokenBucket.js';
import type { DecisionEvent, LimitLookup } from './Types.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** How long after a takeover requests may wait for tokens, because those before them had to. */
const CATCH_UP_MS = 10_000;

/** How long a request may wait for its token in that time. */
const PATIENCE_MS = 2_000;

/** What the owner of a shard's buckets needs. */
export interface BucketOwnerOptions {
  readonly shard: number;
  readonly epoch: number;
  readonly self: Holder;
  /** Absent when the claim names none. */
  readonly standby: Holder | undefined;
  readonly state: messages.ShardState;
  /** Whether another process owned the shard before, so that requests may have had to wait. */
  readonly isTakeover: boolean;
  /** The end of the time after an earlier takeover, when this process has renewed its claim. */
  readonly catchUpUntil: clock.Milliseconds | undefined;
  readonly clock: clock.Clock;
  readonly limitOf: LimitLookup;
  readonly onDecision: (event: DecisionEvent) => void;
}

/** The buckets of a shard at its owner, in one epoch. */
export class BucketOwner {
  /** Fires when the standby must be told something or a request waits. */
  public readonly changed = new lifetime.Emitter<void>();

  private readonly buckets = new Map<string, ownedBucket.OwnedBucket>();

  private readonly dirty = new Set<string>();

  private held!: heldAmounts.HeldAmounts;

  private emptySince: clock.Milliseconds | undefined;

  private sequence = 0;

  private standbyIsComplete = false;

  private headerIsDirty = true;

  private alone = false;

  private waitsUntil: clock.Milliseconds = 0;

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

  /** What holders of earlier epochs may still grant. */
  public get heldEntries(): readonly messages.HeldEntry[] {
    return this.held.entries;
  }

  /** Until when requests may wait for tokens, because those before them had to. */
  public get catchUpUntil(): clock.Milliseconds {
    return this.waitsUntil;
  }

  /** Whether no tokens can be granted yet, because nothing is known of earlier grants. */
  public get isResolving(): boolean {
    return this.held.isUnlimited;
  }

  /** Whether there is something to tell the standby. */
  public get isDirty(): boolean {
    return !this.isStopped && !this.alone && (this.headerIsDirty || this.dirty.size > 0);
  }

  public get isAlone(): boolean {
    return this.alone;
  }

  public get hasWaiting(): boolean {
    return [...this.buckets.values()].some((bucket) => bucket.hasWaiting);
  }

  /** Takes the state of the epoch before, while nothing has been granted in this one. */
  public restart(state: messages.ShardState): void {
    const now = this.options.clock.now();
    this.abandonWaiting();
    this.buckets.clear();
    this.held = new heldAmounts.HeldAmounts(state.held);
    this.held.drop(this.options.self);
    this.emptySince = state.emptyForMs === undefined ? undefined : now - state.emptyForMs;
    state.buckets.forEach(({ workspace, level }) => {
      this.addBucket(workspace, level);
      // An answer to an earlier message must not make the standby pass for complete.
      this.dirty.add(workspace);
    });
    this.standbyIsComplete = false;
    const { isTakeover, catchUpUntil } = this.options;
    this.waitsUntil = isTakeover ? now + CATCH_UP_MS : (catchUpUntil ?? now);
    this.markHeaderDirty();
  }

  /** Grants tokens that have come since, to requests that wait for them. */
  public serveWaiting(): void {
    this.buckets.forEach((bucket, workspace) => {
      if (bucket.hasWaiting) this.authorize(workspace, this.settled(workspace));
    });
  }

  /** Decides a request, now or when the standby has answered. */
  public ask(item: GrantItem): Promise<messages.GrantAnswer> {
    const { clock: time, limitOf } = this.options;
    if (this.isStopped || !limitOf(item.workspace)) {
      return Promise.resolve({ kind: messages.ANSWER_KINDS.PENDING });
    }
    const bucket = this.settled(item.workspace);
    const expiresAt = time.now() + item.timeoutMs;
    return new Promise((decide) => {
      bucket.ask({ decide, expiresAt }, this.situationOf(item.workspace));
      this.authorize(item.workspace, bucket);
      if (bucket.hasWaiting) this.changed.fire();
    });
  }

  /** What to tell the standby next. */
  public takeReplication(): ReplicateRequest {
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
      buckets: names.map((name) => this.settled(name).toReplicated(name)),
      held: [...this.held.entries],
      emptyForMs: this.emptyForMs(),
    };
  }

  /** Takes the standby's answer in. */
  public applyAcknowledgement(request: ReplicateRequest, response: ReplicateResponse): void {
    if (this.isStopped || !response.accepted) return;
    this.standbyIsComplete = response.isComplete;
    if (!response.isComplete) this.markHeaderDirty();
    response.authorized.forEach(({ workspace, tokens }) => {
      const bucket = this.settled(workspace);
      bucket.acknowledge(tokens);
      this.authorize(workspace, bucket);
    });
  }

  /** Notes that the standby may not have got a message. */
  public repeatReplication(request: ReplicateRequest): void {
    request.buckets.forEach((bucket) => this.dirty.add(bucket.workspace));
    this.headerIsDirty = true;
  }

  /** Notes that a holder of an earlier epoch grants no more. */
  public dropHeld(holder: Holder): void {
    const wasResolving = this.isResolving;
    // What has come so far came under the old ceiling.
    this.buckets.forEach((bucket, workspace) => this.settled(workspace));
    this.held.drop(holder);
    if (wasResolving && !this.isResolving) this.startEmpty();
    this.markHeaderDirty();
    this.reviewAll();
  }

  /** Grants without a standby from now on. `emptyFirst` says that others may just have granted. */
  public goAlone(emptyFirst: boolean): void {
    if (this.alone || this.isStopped) return;
    this.alone = true;
    if (emptyFirst) this.startEmpty();
    this.buckets.forEach((bucket, workspace) => {
      this.settled(workspace);
      if (emptyFirst) bucket.emptyLevel();
      bucket.acknowledgeAll();
    });
    this.reviewAll();
  }

  /** Brings the limits of the configuration into force. */
  public updateLimits(): void {
    this.buckets.forEach((bucket, workspace) => {
      this.settled(workspace);
      bucket.setLimit(this.options.limitOf(workspace));
      this.dirty.add(workspace);
    });
    this.reviewAll();
    this.changed.fire();
  }

  /** Grants nothing more, for good. */
  public stop(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    this.abandonWaiting();
    this.changed.fire();
  }

  /** The state for the next owner. Stop first: what was authorized goes back. */
  public exportState(): messages.ShardState {
    const names = [...this.buckets.keys()];
    return {
      epoch: this.epoch,
      buckets: names.map((workspace) => ({
        workspace,
        level: this.settled(workspace).remaining(),
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
    this.waitsUntil = now + CATCH_UP_MS;
  }

  private situationOf(workspace: string): ownedBucket.Situation {
    const now = this.options.clock.now();
    const isCatchingUp = now < this.waitsUntil;
    return { now, held: this.held.of(workspace), patienceMs: isCatchingUp ? PATIENCE_MS : 0 };
  }

  private abandonWaiting(): void {
    this.buckets.forEach((bucket) => bucket.abandonWaiting());
  }

  private reviewAll(): void {
    this.buckets.forEach((bucket, workspace) => {
      bucket.settle(this.options.clock.now(), this.held.of(workspace));
      bucket.review(this.situationOf(workspace));
      this.authorize(workspace, bucket);
    });
  }

  private authorize(workspace: string, bucket: ownedBucket.OwnedBucket): void {
    if (this.isStopped || this.isResolving || !bucket.authorize()) return;
    if (this.alone) {
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

  private settled(workspace: string): ownedBucket.OwnedBucket {
    const bucket = this.buckets.get(workspace) ?? this.addBucket(workspace);
    bucket.settle(this.options.clock.now(), this.held.of(workspace));
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

  /** The level of a bucket that nobody has asked since the state was known. */
  private initialLevel(workspace: string): number {
    const limit = this.options.limitOf(workspace);
    if (!limit || this.isResolving) return 0;
    if (this.emptySince === undefined) return limit.burst;
    const elapsed = this.options.clock.now() - this.emptySince;
    return Math.min(limit.burst, (elapsed / MILLISECONDS_PER_SECOND) * limit.ratePerSecond);
  }
}
