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

/** The part of the time within which all must know what a reader may be behind the log. */
const FRESH_SHARE = 0.75;

const NOTHING = { records: [], nextOffset: 0 };

/** What the shared partitions need. */
export interface SharedPartitionsOptions {
  readonly log: KeyedLog;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  /**
   * How far behind the log a VM may be, in milliseconds. Above twice the longest wait of a read of
   * the log, so that readers are not taken for lagging between two reads.
   */
  readonly staleMs: clock.Milliseconds;
}

/** Partitions that all VMs follow, read from the log by a few VMs and by the others through them. */
export class SharedPartitions implements lifetime.Disposable {
  private readonly mirrors = new Map<string, partitionMirror.PartitionMirror>();

  private readonly store = new lifetime.DisposableStore();

  public constructor(private readonly options: SharedPartitionsOptions) {
    const served = options.network.serve(messages.FOLLOW, (request) => this.answer(request));
    this.store.add(served);
  }

  /**
   * The source of a partition.
   * @param digestOf Records of a key with the same digest say the same, so only the first of them
   * is told to peers.
   */
  public source(
    partition: PartitionName,
    digestOf: (record: StoredRecord) => string,
  ): PartitionSource {
    const { clock: time } = this.options;
    const mirror = this.store.add(new partitionMirror.PartitionMirror({ clock: time, digestOf }));
    this.mirrors.set(keyOf(partition), mirror);
    const log = new logSource.LogSource(this.options.log, partition);
    return new sharedSource.SharedSource({ ...this.options, log, mirror });
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.store.dispose();
  }

  /** A VM tells peers only what it has read from the log itself within this time. */
  private get freshMs(): clock.Milliseconds {
    return FRESH_SHARE * this.options.staleMs;
  }

  private async answer(
    request: messages.FollowRequest,
  ): Promise<trueMyth.Result<messages.FollowResponse, never>> {
    const mirror = this.mirrors.get(keyOf(request.partition));
    if (mirror !== undefined && request.waitMs > 0) await this.waitForNews(mirror, request);
    if (mirror === undefined || mirror.ageMs > this.freshMs) {
      return trueMyth.Result.ok({ ...NOTHING, failure: 'not-followed' });
    }
    return trueMyth.Result.ok(readMirror(mirror, request));
  }

  /** Waits until there is something to tell, the time is over, or what is known is too old. */
  private async waitForNews(
    mirror: partitionMirror.PartitionMirror,
    { from = 0, waitMs }: messages.FollowRequest,
  ): Promise<void> {
    if (mirror.changesSince(from)?.records.length !== 0) return;
    const freshForMs = this.freshMs - mirror.ageMs;
    if (freshForMs <= 0) return;
    const waiting = new AbortController();
    const listening = mirror.onNews(() => waiting.abort());
    await this.options.clock.sleep(Math.min(waitMs, freshForMs), waiting.signal);
    listening.dispose();
  }
}

function readMirror(
  mirror: partitionMirror.PartitionMirror,
  { from }: messages.FollowRequest,
): messages.FollowResponse {
  if (from === undefined) {
    const state = mirror.state();
    if (state === undefined) return { ...NOTHING, failure: 'not-followed' };
    return { records: state.records, nextOffset: state.endOffset };
  }
  return mirror.changesSince(from) ?? { ...NOTHING, failure: 'expired' };
}

function keyOf({ partition, topic }: PartitionName): string {
  return `${topic}/${partition}`;
}
