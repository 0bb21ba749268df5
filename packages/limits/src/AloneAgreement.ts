import * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import type * as holderHistory from './HolderHistory.js';
import * as messages from './messages.js';
import type { Holder } from './messages.js';

const TIMEOUT_MS = 500;

/**
 * Lets the survivor of a pair go on during an outage of the log. The other may have claimed the
 * shard before it ended; any process that could carry its state on must say that it knows of no
 * such claim, and from then on waits for the survivor before it grants in its place.
 */
export class AloneAgreement {
  public constructor(
    private readonly network: Pick<wire.PeerNetwork, 'request'>,
    private readonly members: holderHistory.MemberView,
    private readonly self: Holder,
  ) {}

  /** Whether every member that is not proved to have ended agrees. */
  public async seek(shard: number, epoch: number): Promise<boolean> {
    const request = { shard, epoch, holder: this.self };
    const others = this.members
      .members()
      .filter(
        ({ name, state }) => name !== this.self.name && state !== membership.MEMBER_STATES.GONE,
      );
    const answers = await Promise.all(others.map((other) => this.ask(other.address, request)));
    return answers.every((isAccepted) => isAccepted);
  }

  private async ask(address: string, request: messages.AloneRequest): Promise<boolean> {
    const options = { timeoutMs: TIMEOUT_MS };
    const result = await this.network.request(address, messages.ALONE, request, options);
    return result.isOk && result.value.accepted;
  }
}
