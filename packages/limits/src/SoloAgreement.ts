import * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import type * as holderHistory from './HolderHistory.js';
import * as messages from './messages.js';
import type { Holder } from './messages.js';

const AGREEMENT_TIMEOUT_MS = 500;

/**
 * Lets the survivor of an owner and standby continue in solo mode while the log is unavailable.
 * Its partner may have claimed the shard before it ended. Each process that could have taken over
 * the partner's state must therefore confirm that it knows of no such claim. A process that has
 * confirmed this does not grant in the survivor's place until the survivor has stopped.
 */
export class SoloAgreement {
  public constructor(
    private readonly network: Pick<wire.PeerNetwork, 'request'>,
    private readonly members: holderHistory.MemberView,
    private readonly self: Holder,
  ) {}

  /** Returns whether all members agree, except those that are proved to have ended. */
  public async obtain(shard: number, epoch: number): Promise<boolean> {
    const request = { shard, epoch, holder: this.self };
    const others = this.members
      .members()
      .filter(
        ({ name, state }) => name !== this.self.name && state !== membership.MEMBER_STATES.GONE,
      );
    const acceptances = await Promise.all(
      others.map((other) => this.requestFrom(other.address, request)),
    );
    return acceptances.every((isAccepted) => isAccepted);
  }

  private async requestFrom(address: string, request: messages.SoloRequest): Promise<boolean> {
    const options = { timeoutMs: AGREEMENT_TIMEOUT_MS };
    const result = await this.network.request(address, messages.SOLO, request, options);
    return result.isOk && result.value.accepted;
  }
}
