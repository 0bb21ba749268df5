import type * as clock from '@limpettack/clock';
import type { WorkspaceLimit } from './Types.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A limit under which a bucket keeps its level; for workspaces that are not configured here. */
const FROZEN_LIMIT: WorkspaceLimit = { ratePerSecond: 0, burst: Number.MAX_VALUE };

/** The level of one workspace's tokens, refilled with the time of one process. */
export class TokenBucket {
  private limit: WorkspaceLimit;

  public constructor(
    private tokens: number,
    private settledAt: clock.Milliseconds,
    limit: WorkspaceLimit | undefined,
  ) {
    this.limit = limit ?? FROZEN_LIMIT;
  }

  /** Tokens as of the last call of `settle`. */
  public get level(): number {
    return this.tokens;
  }

  public get ratePerSecond(): number {
    return this.limit.ratePerSecond;
  }

  public get burst(): number {
    return this.limit.burst;
  }

  /** Adds what has come since the last call. The level never exceeds the burst less `reserved`. */
  public settle(now: clock.Milliseconds, reserved: number): void {
    const elapsed = Math.max(0, now - this.settledAt);
    const refilled = this.tokens + (elapsed / MILLISECONDS_PER_SECOND) * this.limit.ratePerSecond;
    this.settledAt = now;
    this.tokens = Math.max(0, Math.min(refilled, this.limit.burst - reserved));
  }

  /** Changes the limit. Settle first: time that has passed counts at the old rate. */
  public setLimit(limit: WorkspaceLimit | undefined): void {
    this.limit = limit ?? FROZEN_LIMIT;
  }

  public take(tokens: number): void {
    this.tokens -= tokens;
  }

  public empty(): void {
    this.tokens = 0;
  }

  /** How long it takes until so many tokens have come, in milliseconds. */
  public timeFor(tokens: number): clock.Milliseconds {
    return Math.ceil((tokens / this.limit.ratePerSecond) * MILLISECONDS_PER_SECOND);
  }
}
