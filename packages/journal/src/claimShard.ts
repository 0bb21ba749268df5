import type * as clock from '@limpettack/clock';
import type * as platformClient from '@limpettack/platform-client';
import type * as appendRate from './AppendRate.js';
import type * as logStatus from './LogStatus.js';
import type { ClaimListener } from './Types.js';

const RETRY_MS = 50;

/** Where a claim is appended and read back. */
export interface ClaimStream {
  readonly shard: number;
  readonly name: string;
  epoch(): number;
  absorb(offset: number, payloads: readonly string[]): boolean;
  readTo(offset: number): Promise<platformClient.PlatformFailure | undefined>;
  catchUp(): Promise<platformClient.PlatformFailure | undefined>;
}

/** What a claim needs from the process. */
export interface ClaimCollaborators {
  readonly log: platformClient.LogClient;
  readonly clock: clock.Clock;
  readonly status: logStatus.LogStatus;
  readonly rate: appendRate.AppendRate;
  readonly claimListener?: ClaimListener | undefined;
}

/**
 * Appends a claim for an epoch and returns when the stream has shown a valid claim of that epoch,
 * ours or another's, or when our claim surely had no effect. A claim whose answer was lost is seen
 * to its end: until then nobody here may vouch for the earlier owner.
 */
export async function claimShard(
  stream: ClaimStream,
  epoch: number,
  payload: string,
  { log, clock: clockSource, status, rate, claimListener }: ClaimCollaborators,
  signal: AbortSignal,
): Promise<void> {
  let mayCount = false;
  while (stream.epoch() < epoch && !signal.aborted) {
    await rate.acquire(signal);
    claimListener?.beforeClaim(stream.shard);
    const result = await log.append(stream.name, [payload]);
    if (result.isOk) {
      mayCount = true;
      if (!stream.absorb(result.value, [payload])) await stream.readTo(result.value + 1);
    } else {
      if (result.error.kind === 'unavailable') status.markDown();
      if (result.error.kind === 'lost') mayCount = true;
      if (!mayCount) {
        claimListener?.claimAbandoned(stream.shard);
        return;
      }
      await stream.catchUp();
    }
    if (stream.epoch() < epoch) await clockSource.sleep(RETRY_MS, signal);
  }
}
