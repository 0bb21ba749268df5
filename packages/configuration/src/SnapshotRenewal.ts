import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import type * as platformClient from '@limpettack/platform-client';
import type { ConfigurationRecord, ConfigurationSnapshot } from './Types.js';
import * as schemas from './schemas.js';

/** Fraction of the retention after which the state is appended again. */
const RENEWAL_AGE_FRACTION = 0.5;

/** Mean time between two checks as a fraction of the retention, before jitter. */
const CHECK_INTERVAL_FRACTION = 0.05;

/** Shortest and longest time between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = { SHORTEST: 200, LONGEST: 60_000 } as const;

const RETENTION_RETRY_MS = 2_000;

/** Dependencies of the renewal, which its follower provides. */
export interface SnapshotRenewalOptions {
  readonly log: platformClient.LogClient;
  readonly stream: string;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly random: () => number;
  /** Returns whether this VM knows the state at the tail of the stream. */
  readonly canWrite: () => boolean;
  readonly snapshot: () => ConfigurationSnapshot;
}

/**
 * Appends a snapshot of the state before the records that hold it expire. Any VM may do this.
 * Because the checks are jittered, normally one VM appends a snapshot and the others read it.
 */
export class SnapshotRenewal {
  /** Clock time at which the newest snapshot, or else the first record, was appended. */
  private appendedAt: clock.Milliseconds | undefined;

  public constructor(private readonly options: SnapshotRenewalOptions) {}

  /** Records the age, in milliseconds, of a record that was read. */
  public trackAge(record: ConfigurationRecord, ageMs: clock.Milliseconds): void {
    const isFirst = this.appendedAt === undefined;
    if (!isFirst && record.kind !== schemas.RECORD_KINDS.SNAPSHOT) return;
    this.appendedAt = this.options.clock.now() - ageMs;
  }

  /** Checks at intervals whether the state must be appended again, until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const retentionMs = await this.readRetention(signal);
    while (!signal.aborted) {
      await this.options.clock.sleep(this.nextCheckDelayMs(retentionMs), signal);
      if (signal.aborted) return;
      if (this.isDue(retentionMs)) await this.append();
    }
  }

  private async readRetention(signal: AbortSignal): Promise<clock.Milliseconds> {
    while (!signal.aborted) {
      const retention = await this.options.log.retention();
      if (retention.isOk) return retention.value;
      await this.options.clock.sleep(RETENTION_RETRY_MS * (0.5 + this.options.random()), signal);
    }
    return Number.POSITIVE_INFINITY;
  }

  private nextCheckDelayMs(retentionMs: clock.Milliseconds): clock.Milliseconds {
    const delayMs = retentionMs * CHECK_INTERVAL_FRACTION * (0.5 + this.options.random());
    return Math.min(Math.max(delayMs, CHECK_INTERVAL_MS.SHORTEST), CHECK_INTERVAL_MS.LONGEST);
  }

  private isDue(retentionMs: clock.Milliseconds): boolean {
    if (!this.options.canWrite() || this.options.snapshot().version === 0) return false;
    // The age of the records is unknown when the state came only from peers.
    if (this.appendedAt === undefined) return true;
    return this.options.clock.now() - this.appendedAt > retentionMs * RENEWAL_AGE_FRACTION;
  }

  private async append(): Promise<void> {
    const snapshot = this.options.snapshot();
    const result = await this.options.log.append(this.options.stream, [JSON.stringify(snapshot)]);
    if (result.isErr) return;
    this.options.logger.info('Appended the configuration again before its records expire.', {
      version: snapshot.version,
      offset: result.value,
    });
  }
}
