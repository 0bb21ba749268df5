import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as logSource from './LogSource.js';
import * as messages from './messages.js';
import * as partitionMirror from './PartitionMirror.js';
import * as sharedSource from './SharedSource.js';
import type { KeyedLog, PartitionName, PartitionSource, StoredRecord } from './Types.js';

/** A VM serves peers only if its last read of the log is no older than this share of `staleMs`. */
const MAXIMUM_AGE_SHARE = 0.75;

const NO_CHANGES = { records: [], nextOffset: 0 };

/** Dependencies and settings of the shared partitions. */
export interface SharedPartitionsOptions {
  readonly log: KeyedLog;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /**
   * Maximum time by which a VM may lag behind the log, in milliseconds. Must exceed twice the
   * longest wait of a read of the log, otherwise readers seem to lag between two reads.
   */
  readonly staleMs: clock.Milliseconds;
}

/**
 * Shares partitions that all VMs follow: a few VMs read them from the log, and the other VMs read
 * them from those few.
 */
export class SharedPartitions implements lifetime.Disposable {
  private readonly mirrors = new Map<string, partitionMirror.PartitionMirror>();

  private readonly disposables = new lifetime.DisposableStore();

  public constructor(private readonly options: SharedPartitionsOptions) {
    const registration = options.network.serve(messages.FOLLOW, (request) => this.respond(request));
    this.disposables.add(registration);
  }

  /**
   * Creates the source from which this VM reads a partition, and serves the partition to peers.
   * @param digestOf Consecutive records of a key with the same digest are equivalent: only the first
   * of them is passed on to peers.
   */
  public source(
    partition: PartitionName,
    digestOf: (record: StoredRecord) => string,
  ): PartitionSource {
    const { clock: time } = this.options;
    const mirror = this.disposables.add(
      new partitionMirror.PartitionMirror({ clock: time, digestOf }),
    );
    this.mirrors.set(keyOf(partition), mirror);
    const log = new logSource.LogSource(this.options.log, partition);
    return new sharedSource.SharedSource({ ...this.options, log, mirror });
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.disposables.dispose();
  }

  /** A VM serves peers only if it has read the log itself within this time. */
  private get maximumAgeMs(): clock.Milliseconds {
    return MAXIMUM_AGE_SHARE * this.options.staleMs;
  }

  private async respond(
    request: messages.FollowRequest,
  ): Promise<trueMyth.Result<messages.FollowResponse, never>> {
    const mirror = this.mirrors.get(keyOf(request.partition));
    if (mirror !== undefined && request.waitMs > 0) await this.waitForUpdate(mirror, request);
    if (mirror === undefined || mirror.ageMs > this.maximumAgeMs) {
      return trueMyth.Result.ok({ ...NO_CHANGES, failure: 'not-followed' });
    }
    return trueMyth.Result.ok(readMirror(mirror, request));
  }

  /**
   * Waits for a change of the mirror. Ends early when a read of the log fails, the requested time
   * has passed or the mirror is too old to serve peers.
   */
  private async waitForUpdate(
    mirror: partitionMirror.PartitionMirror,
    { from = 0, waitMs }: messages.FollowRequest,
  ): Promise<void> {
    if (mirror.changesSince(from)?.records.length !== 0) return;
    const remainingMs = this.maximumAgeMs - mirror.ageMs;
    if (remainingMs <= 0) return;
    const wakeUp = new AbortController();
    const subscription = mirror.onUpdate(() => wakeUp.abort());
    await this.options.clock.sleep(Math.min(waitMs, remainingMs), wakeUp.signal);
    subscription.dispose();
  }
}

function readMirror(
  mirror: partitionMirror.PartitionMirror,
  { from }: messages.FollowRequest,
): messages.FollowResponse {
  if (from === undefined) {
    const state = mirror.state();
    if (state === undefined) return { ...NO_CHANGES, failure: 'not-followed' };
    return { records: state.records, nextOffset: state.endOffset };
  }
  return mirror.changesSince(from) ?? { ...NO_CHANGES, failure: 'expired' };
}

function keyOf({ partition, topic }: PartitionName): string {
  return `${topic}/${partition}`;
}
