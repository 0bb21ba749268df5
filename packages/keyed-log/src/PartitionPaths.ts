import type * as clock from '@limpettack/clock';
import * as logPaths from './LogPaths.js';
import type { PartitionName } from './Types.js';

/**
 * A success of another partition within this time shows that a failure concerns one partition only.
 * It is shorter than the timeout of a call, so an outage in which the log does not respond counts
 * against the whole log at once.
 */
const OTHER_SUCCESS_MS = 500;

/**
 * In an outage of the whole log, a partition that has failed itself waits this long for the calls of
 * others before it takes the next direct attempt. Its own retries would otherwise take all of them.
 */
const YIELD_MS = 50;

/** An older success of a partition does not show that it still works. */
const SUCCESS_LIFETIME_MS = 2_000;

/** A partition without a failure for this long is tried again for peers. */
const FAILURE_LIFETIME_MS = 1_000;

/** Time until relays are tried again for a partition that they do not reach. */
const RELAY_RETRY_MS = 1_000;

interface FailingPartition {
  readonly paths: logPaths.LogPaths;
  readonly since: clock.Milliseconds;
  failedAt: clock.Milliseconds;
}

/** The calls that an outcome moves to another path. */
export const AFFECTED_CALLS = {
  NONE: 'none',
  /** The calls to the same partition. */
  PARTITION: 'partition',
  ALL: 'all',
} as const;

/** A value of `AFFECTED_CALLS`. */
export type AffectedCalls = (typeof AFFECTED_CALLS)[keyof typeof AFFECTED_CALLS];

/**
 * Decides by which paths calls reach the partitions of the log. The log may serve some partitions
 * and reject calls to others. A failing partition then uses relays and few direct attempts, and
 * calls to the others stay on the direct path.
 */
export class PartitionPaths {
  private readonly shared = new logPaths.LogPaths();

  private readonly failing = new Map<string, FailingPartition>();

  /** When each partition last succeeded directly. */
  private readonly succeededAt = new Map<string, clock.Milliseconds>();

  /** When relays last reached each partition. */
  private readonly relayedAt = new Map<string, clock.Milliseconds>();

  /** Until when relays, which reach other partitions, are not tried for a partition. */
  private readonly relaysPausedUntil = new Map<string, clock.Milliseconds>();

  /**
   * @param isolatesPartitions Whether partitions may fail on their own. If not, each failure counts
   * against the whole log.
   */
  public constructor(private readonly isolatesPartitions: boolean) {}

  /** Whether the direct path works for the log as a whole, as far as is known. */
  public get isDirect(): boolean {
    return this.shared.isDirect;
  }

  /** Whether a call for a peer may be made directly. Its outcome must be recorded. */
  public mayServe(partition: PartitionName, now: clock.Milliseconds): boolean {
    const own = this.failing.get(keyOf(partition));
    if (!this.shared.isDirect) return false;
    // If this process has no calls of its own, only those of peers show that a partition works again.
    return own === undefined || now - own.failedAt > FAILURE_LIFETIME_MS;
  }

  /** Chooses the paths of a call that starts now. */
  public choose(partition: PartitionName, now: clock.Milliseconds): logPaths.PathChoice {
    const own = this.failing.get(keyOf(partition));
    if (this.shared.isDirect && own !== undefined) return own.paths.choose(now);
    const yields = own !== undefined && this.isolatesPartitions;
    const choice = this.shared.choose(now, yields ? YIELD_MS : 0);
    return { ...choice, isRelayed: choice.isRelayed && !this.isRelayPaused(partition, now) };
  }

  /** Whether relays may be tried for a partition. */
  public mayRelay(partition: PartitionName, now: clock.Milliseconds): boolean {
    return this.pathsOf(partition).mayRelay(now) && !this.isRelayPaused(partition, now);
  }

  /** Records that a direct call has succeeded. Returns the calls that may become direct again. */
  public noteDirectSuccess(partition: PartitionName, now: clock.Milliseconds): AffectedCalls {
    const wasDirect = this.shared.isDirect;
    const hadFailed = this.failing.delete(keyOf(partition));
    this.succeededAt.set(keyOf(partition), now);
    this.shared.noteDirectSuccess(now);
    if (!wasDirect) return AFFECTED_CALLS.ALL;
    return hadFailed ? AFFECTED_CALLS.PARTITION : AFFECTED_CALLS.NONE;
  }

  /**
   * Records that a direct call, which started at the given time, has failed. Returns the calls that
   * move to relays.
   *
   * @param isStall Whether the call was a read that has waited for changes. It may stall while its
   * partition serves all other calls, so it does not show that the partition fails.
   */
  public noteDirectFailure(
    partition: PartitionName,
    startedAt: clock.Milliseconds,
    now: clock.Milliseconds,
    isStall: boolean,
  ): AffectedCalls {
    const key = keyOf(partition);
    if (this.isolatesPartitions && !isStall) {
      const wasDirect = this.shared.isDirect && !this.failing.has(key);
      if ((this.succeededAt.get(key) ?? 0) > startedAt) return AFFECTED_CALLS.NONE;
      const { since } = this.noteFailing(key, startedAt, now);
      if (this.othersWork(key, since, now))
        return wasDirect ? AFFECTED_CALLS.PARTITION : AFFECTED_CALLS.NONE;
    }
    const wasShared = this.shared.isDirect;
    this.shared.noteDirectFailure(startedAt, now);
    return wasShared && !this.shared.isDirect ? AFFECTED_CALLS.ALL : AFFECTED_CALLS.NONE;
  }

  /** Records that a relay has reached a partition. */
  public noteRelaySuccess(partition: PartitionName, now: clock.Milliseconds): void {
    this.relayedAt.set(keyOf(partition), now);
    this.relaysPausedUntil.delete(keyOf(partition));
    this.pathsOf(partition).noteRelaySuccess(now);
  }

  /** Records that no relay has reached a partition for a call that started at the given time. */
  public noteRelayFailure(
    partition: PartitionName,
    startedAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): void {
    const key = keyOf(partition);
    const othersAreRelayed = [...this.relayedAt].some(
      ([other, at]) => other !== key && at > now - SUCCESS_LIFETIME_MS,
    );
    if (!this.isolatesPartitions || !othersAreRelayed)
      this.pathsOf(partition).noteRelayFailure(startedAt, now);
    else if ((this.relayedAt.get(key) ?? 0) <= startedAt)
      this.relaysPausedUntil.set(key, now + RELAY_RETRY_MS);
  }

  private isRelayPaused(partition: PartitionName, now: clock.Milliseconds): boolean {
    return (this.relaysPausedUntil.get(keyOf(partition)) ?? 0) > now;
  }

  private pathsOf(partition: PartitionName): logPaths.LogPaths {
    const own = this.failing.get(keyOf(partition));
    return this.shared.isDirect && own !== undefined ? own.paths : this.shared;
  }

  private noteFailing(
    key: string,
    startedAt: clock.Milliseconds,
    now: clock.Milliseconds,
  ): FailingPartition {
    const entry = this.failing.get(key) ?? {
      paths: new logPaths.LogPaths(),
      since: now,
      failedAt: now,
    };
    entry.failedAt = now;
    entry.paths.noteDirectFailure(startedAt, now);
    this.failing.set(key, entry);
    return entry;
  }

  /** Whether another partition works, given since when this one has been failing. */
  private othersWork(key: string, since: clock.Milliseconds, now: clock.Milliseconds): boolean {
    const earliest = Math.max(since - OTHER_SUCCESS_MS, now - SUCCESS_LIFETIME_MS);
    return [...this.succeededAt].some(
      ([other, at]) => other !== key && at > earliest && !this.failing.has(other),
    );
  }
}

function keyOf({ partition, topic }: PartitionName): string {
  return `${topic}/${partition}`;
}
