import type * as wire from '@limpettack/wire';
import * as controlRecords from './controlRecords.js';
import * as journalRecord from './JournalRecord.js';
import type { RecordId } from './JournalRecord.js';
import type * as shardStream from './ShardStream.js';
import type * as streamWriter from './StreamWriter.js';
import type { ClaimListener, ShardHolder } from './Types.js';

const RETRY_MS = 50;

/** The epoch that a claim starts and the standby that it names. */
export interface ClaimContent {
  readonly epoch: number;
  readonly standby: ShardHolder | undefined;
}

/** Dependencies of a claim. */
export interface ClaimDependencies extends streamWriter.WriterDependencies {
  readonly self: wire.PeerIdentity;
  readonly claimListener?: ClaimListener | undefined;
  createId(): RecordId;
}

/**
 * Appends a claim for an epoch. Returns when a valid claim of that epoch, by this or another
 * process, has been read in the stream, or when this claim is certain to have had no effect. A
 * claim whose response was lost is retried until then, because this process must not confirm the
 * authority of the earlier owner while its own claim may be in the log.
 */
export async function claimShard<State, Body>(
  stream: shardStream.ShardStream<State, Body>,
  { epoch, standby }: ClaimContent,
  dependencies: ClaimDependencies,
  signal: AbortSignal,
): Promise<void> {
  const { log, clock: clockSource, status, rate, claimListener } = dependencies;
  const payload = encodeClaim(stream.shard, { epoch, standby }, dependencies);
  let mayBeInLog = false;
  while (stream.view.reader.epoch < epoch && !signal.aborted) {
    await rate.acquire(signal);
    claimListener?.beforeClaim(stream.shard);
    const result = await log.append(stream.name, [payload]);
    if (result.isOk) {
      mayBeInLog = true;
      if (!stream.applyAppended(result.value, [payload])) await stream.readTo(result.value + 1);
    } else {
      if (result.error.kind === 'unavailable') status.markDown();
      if (result.error.kind === 'lost') mayBeInLog = true;
      if (!mayBeInLog) {
        claimListener?.claimAbandoned(stream.shard);
        return;
      }
      await stream.catchUp();
    }
    if (stream.view.reader.epoch < epoch) await clockSource.sleep(RETRY_MS, signal);
  }
}

function encodeClaim(
  shard: number,
  { epoch, standby }: ClaimContent,
  { self, createId }: ClaimDependencies,
): string {
  const owner = controlRecords.holderOf(self);
  const claim = controlRecords.makeClaim({ id: createId(), shard, epoch, owner, standby });
  return journalRecord.encodeRecord(claim);
}
