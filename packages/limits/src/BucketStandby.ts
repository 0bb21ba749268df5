import type * as clock from '@limpettack/clock';
import * as unreleasedTokens from './UnreleasedTokens.js';
import type {
  UnreleasedEntry,
  Holder,
  ReplicatedBucket,
  ReplicateRequest,
  ShardState,
} from './messages.js';
import * as tokenBucket from './TokenBucket.js';
import type { LimitLookup } from './Types.js';

interface Replica {
  readonly bucket: tokenBucket.TokenBucket;
  readonly sequence: number;
  readonly authorized: number;
  readonly granted: number;
}

/** The standby's replica of the owner's buckets of a shard, in one epoch. */
export class BucketStandby {
  private readonly replicas = new Map<string, Replica>();

  private held = new unreleasedTokens.UnreleasedTokens([]);

  private emptySince: clock.Milliseconds | undefined;

  /** Sequence number of the message with the complete state. Earlier messages are ignored. */
  private firstSequence = 0;

  private lastSequence = -1;

  private complete = false;

  public constructor(
    public readonly epoch: number,
    public readonly owner: Holder,
    private readonly time: clock.Clock,
    private readonly limitOf: LimitLookup,
  ) {}

  /** Whether all buckets of the epoch have been received. */
  public get isComplete(): boolean {
    return this.complete;
  }

  /** Applies a message of the owner. Late and duplicate messages change nothing. */
  public apply(message: ReplicateRequest): void {
    if (message.complete && !this.complete) this.startFrom(message);
    if (!this.complete || message.sequence < this.firstSequence) return;
    message.buckets.forEach((bucket) => this.applyBucket(bucket, message.sequence));
    if (message.sequence <= this.lastSequence) return;
    this.lastSequence = message.sequence;
    this.replaceHeld(message.held);
    this.emptySince = this.emptySinceOf(message);
  }

  /** Returns the tokens that the owner may grant, in total since the start of the epoch. */
  public authorized(workspace: string): number {
    return this.replicas.get(workspace)?.authorized ?? 0;
  }

  /** Applies the limits of the current configuration. */
  public updateLimits(): void {
    this.replicas.forEach((replica, workspace) => {
      this.refill(workspace, replica);
      replica.bucket.setLimit(this.limitOf(workspace));
    });
  }

  /**
   * Returns the state for the next owner. Tokens that the current owner may still grant are in
   * `held`.
   */
  public exportState(): ShardState {
    const names = [...this.replicas.keys()];
    const amounts = names
      .map((workspace) => ({ workspace, tokens: outstanding(this.replicas.get(workspace)!) }))
      .filter((amount) => amount.tokens > 0);
    const own: UnreleasedEntry = {
      holder: this.owner,
      epoch: this.epoch,
      unlimited: false,
      amounts,
    };
    return {
      epoch: this.epoch,
      buckets: names.map((workspace) => ({ workspace, level: this.levelOf(workspace) })),
      held: [...this.held.entries, own],
      emptyForMs: this.emptySince === undefined ? undefined : this.time.now() - this.emptySince,
    };
  }

  private startFrom(message: ReplicateRequest): void {
    this.complete = true;
    this.firstSequence = message.sequence;
  }

  private applyBucket(update: ReplicatedBucket, sequence: number): void {
    const known = this.replicas.get(update.workspace);
    if (known && known.sequence >= sequence) return;
    const { workspace, level, authorized, granted } = update;
    // The refill starts now, after the owner read the level, so the level is never overestimated.
    const limit = this.limitOf(workspace);
    const bucket = new tokenBucket.TokenBucket(level, this.time.now(), limit);
    this.replicas.set(workspace, { bucket, sequence, authorized, granted });
  }

  private replaceHeld(entries: readonly UnreleasedEntry[]): void {
    // Refill first, because the old held tokens limited the level until now.
    this.replicas.forEach((replica, workspace) => this.refill(workspace, replica));
    this.held = new unreleasedTokens.UnreleasedTokens(entries);
  }

  private emptySinceOf(message: ReplicateRequest): clock.Milliseconds | undefined {
    if (message.emptyForMs === undefined) return undefined;
    return this.time.now() - message.emptyForMs;
  }

  private refill(workspace: string, replica: Replica): void {
    replica.bucket.refill(this.time.now(), outstanding(replica) + this.held.tokensOf(workspace));
  }

  private levelOf(workspace: string): number {
    const replica = this.replicas.get(workspace)!;
    this.refill(workspace, replica);
    return replica.bucket.level;
  }
}

function outstanding(replica: Replica): number {
  return replica.authorized - replica.granted;
}
