import type * as clock from '@limpettack/clock';
import type { WorkspaceLimit } from './Types.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Keeps a bucket's level constant. Applies to workspaces that are not configured on this VM. */
const FROZEN_LIMIT: WorkspaceLimit = { ratePerSecond: 0, burst: Number.MAX_VALUE };

/** A workspace's token bucket, refilled according to this process's clock. */
export class TokenBucket {
  private limit: WorkspaceLimit;

  public constructor(
    private tokens: number,
    private refilledAt: clock.Milliseconds,
    limit: WorkspaceLimit | undefined,
  ) {
    this.limit = limit ?? FROZEN_LIMIT;
  }

  /** Tokens as of the last refill. */
  public get level(): number {
    return this.tokens;
  }

  public get ratePerSecond(): number {
    return this.limit.ratePerSecond;
  }

  public get burst(): number {
    return this.limit.burst;
  }

  /** Adds tokens accrued since the last call. The level never exceeds burst minus `reserved`. */
  public refill(now: clock.Milliseconds, reserved: number): void {
    const elapsed = Math.max(0, now - this.refilledAt);
    const refilled = this.tokens + (elapsed / MILLISECONDS_PER_SECOND) * this.limit.ratePerSecond;
    this.refilledAt = now;
    this.tokens = Math.max(0, Math.min(refilled, this.limit.burst - reserved));
  }

  /** Changes the limit. Refill first, so that elapsed time accrues at the old rate. */
  public setLimit(limit: WorkspaceLimit | undefined): void {
    this.limit = limit ?? FROZEN_LIMIT;
  }

  public take(tokens: number): void {
    this.tokens -= tokens;
  }

  public empty(): void {
    this.tokens = 0;
  }

  /** Returns the time to accrue this many tokens, in milliseconds. */
  public timeToAccrue(tokens: number): clock.Milliseconds {
    return Math.ceil((tokens / this.limit.ratePerSecond) * MILLISECONDS_PER_SECOND);
  }
}
