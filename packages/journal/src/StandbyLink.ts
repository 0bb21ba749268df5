import type * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import * as peerMethods from './peerMethods.js';
import type { Ownership } from './Types.js';

/** Time for one message to the standby. */
const STANDBY_TIMEOUT_MS = 500;

/** What came of a message to the standby. */
export type StandbyAnswer =
  /** It did as asked. */
  | { readonly kind: 'granted'; readonly startedAt: clock.Milliseconds }
  /** It has claimed the shard, is about to, or knows a later epoch. */
  | { readonly kind: 'refused' }
  /** It holds nothing of the message and does not stand for another owner either. */
  | { readonly kind: 'no-effect' }
  /** It may have done as asked. */
  | { readonly kind: 'unknown' };

/** The messages of an owner to its standby. */
export class StandbyLink {
  public constructor(
    private readonly network: wire.PeerNetwork,
    private readonly clockSource: clock.Clock,
  ) {}

  /** Asks for the standby's word that the shard is still owned here. */
  public askAuthority(ownership: Ownership): Promise<StandbyAnswer> {
    const { shard, epoch } = ownership;
    return this.tell(ownership, peerMethods.authority, { shard, epoch });
  }

  /** Asks the standby to claim the shard, since the log cannot be reached from here. */
  public yieldShard(ownership: Ownership): Promise<StandbyAnswer> {
    const { shard, epoch } = ownership;
    return this.tell(ownership, peerMethods.yieldShard, { shard, epoch });
  }

  /** Asks the standby to hold records. */
  public replicate(
    ownership: Ownership,
    records: peerMethods.ReplicateRequest['records'],
  ): Promise<StandbyAnswer> {
    const { shard, epoch } = ownership;
    return this.tell(ownership, peerMethods.replicate, { shard, epoch, records });
  }

  private async tell<Request>(
    { standby }: Ownership,
    method: wire.PeerMethod<Request, object>,
    request: Request,
  ): Promise<StandbyAnswer> {
    if (standby === undefined) return { kind: 'no-effect' };
    const startedAt = this.clockSource.now();
    const options = { timeoutMs: STANDBY_TIMEOUT_MS };
    const answer = await this.network.request(standby.address, method, request, options);
    if (answer.isOk) return { kind: 'granted', startedAt };
    const { kind, fault } = answer.error;
    if (kind === 'not-sent') return { kind: 'no-effect' };
    if (kind !== 'refused') return { kind: 'unknown' };
    return { kind: fault?.kind === 'not-owner' ? 'refused' : 'no-effect' };
  }
}
