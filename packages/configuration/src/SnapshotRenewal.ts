import type * as clock from '@limpettack/clock';
import type * as logging from '@limpettack/logging';
import type * as platformClient from '@limpettack/platform-client';
import type { ConfigurationRecord, ConfigurationSnapshot } from './Types.js';
import * as schemas from './schemas.js';

/** The part of the retention after which the state is appended again. */
const RENEWAL_PART = 0.5;

/** The part of the retention over which the VMs spread their checks. */
const CHECK_PART = 0.05;

/** The shortest and longest time between two checks, in milliseconds. */
const CHECK_INTERVAL_MS = { SHORTEST: 200, LONGEST: 60_000 } as const;

const RETENTION_RETRY_MS = 2_000;

/** What the renewal needs of its follower. */
export interface SnapshotRenewalOptions {
  readonly log: platformClient.LogClient;
  readonly stream: string;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly random: () => number;
  /** Whether this VM knows the state as of the tail of the stream. */
  readonly canWrite: () => boolean;
  readonly snapshot: () => ConfigurationSnapshot;
}

/**
 * Appends the state again before the records that hold it expire. Any VM may do it; the jitter
 * of the checks lets normally one VM do it and the others read its snapshot.
 */
export class SnapshotRenewal {
  /** When the newest snapshot, or else the first record, was appended, on the own clock. */
  private appendedAt: clock.Milliseconds | undefined;

  public constructor(private readonly options: SnapshotRenewalOptions) {}

  /** Notes a record that was read with its age, in milliseconds. */
  public note(record: ConfigurationRecord, ageMs: clock.Milliseconds): void {
    const isFirst = this.appendedAt === undefined;
    if (!isFirst && record.kind !== schemas.RECORD_KINDS.SNAPSHOT) return;
    this.appendedAt = this.options.clock.now() - ageMs;
  }

  /** Checks at intervals whether the state must be appended again, until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const retentionMs = await this.readRetention(signal);
    while (!signal.aborted) {
      await this.options.clock.sleep(this.checkSpan(retentionMs), signal);
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

  private checkSpan(retentionMs: clock.Milliseconds): clock.Milliseconds {
    const span = retentionMs * CHECK_PART * (0.5 + this.options.random());
    return Math.min(Math.max(span, CHECK_INTERVAL_MS.SHORTEST), CHECK_INTERVAL_MS.LONGEST);
  }

  private isDue(retentionMs: clock.Milliseconds): boolean {
    if (!this.options.canWrite() || this.options.snapshot().version === 0) return false;
    // A state learned from peers alone may stand in records of any age.
    if (this.appendedAt === undefined) return true;
    return this.options.clock.now() - this.appendedAt > retentionMs * RENEWAL_PART;
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
