import type * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import * as peerMethods from './peerMethods.js';
import type { Ownership } from './Types.js';

/** Timeout of one request to the standby. */
const STANDBY_TIMEOUT_MS = 500;

/** The outcome of a request to the standby. */
export type StandbyReply =
  /** The standby did as requested. */
  | { readonly kind: 'granted'; readonly startedAt: clock.Milliseconds }
  /** The standby has claimed the shard, is about to claim it, or knows a later epoch. */
  | { readonly kind: 'refused' }
  /** The request had no effect, and the standby has not accepted another owner either. */
  | { readonly kind: 'no-effect' }
  /** The standby may have done as requested. */
  | { readonly kind: 'unknown' };

/** Sends an owner's requests to its standby. */
export class StandbyLink {
  public constructor(
    private readonly network: wire.PeerNetwork,
    private readonly clockSource: clock.Clock,
  ) {}

  /** Asks the standby to confirm that this process still owns the shard. */
  public requestAuthority(ownership: Ownership): Promise<StandbyReply> {
    const { shard, epoch } = ownership;
    return this.send(ownership, peerMethods.authority, { shard, epoch });
  }

  /** Asks the standby to claim the shard, because this VM cannot reach the log. */
  public yieldShard(ownership: Ownership): Promise<StandbyReply> {
    const { shard, epoch } = ownership;
    return this.send(ownership, peerMethods.yieldShard, { shard, epoch });
  }

  /** Asks the standby to store records while the log is down. */
  public replicate(
    ownership: Ownership,
    records: peerMethods.ReplicateRequest['records'],
  ): Promise<StandbyReply> {
    const { shard, epoch } = ownership;
    return this.send(ownership, peerMethods.replicate, { shard, epoch, records });
  }

  private async send<Request>(
    { standby }: Ownership,
    method: wire.PeerMethod<Request, object>,
    request: Request,
  ): Promise<StandbyReply> {
    if (standby === undefined) return { kind: 'no-effect' };
    const startedAt = this.clockSource.now();
    const options = { timeoutMs: STANDBY_TIMEOUT_MS };
    const reply = await this.network.request(standby.address, method, request, options);
    if (reply.isOk) return { kind: 'granted', startedAt };
    const { kind, fault } = reply.error;
    if (kind === 'not-sent') return { kind: 'no-effect' };
    if (kind !== 'refused') return { kind: 'unknown' };
    return { kind: fault?.kind === 'not-owner' ? 'refused' : 'no-effect' };
  }
}
