import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as membership from '@limpettack/membership';
import type * as scheduling from '@limpettack/scheduling';
import * as trueMyth from 'true-myth';
import type * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as pickRandomPeers from './pickRandomPeers.js';

const EXCHANGE_INTERVAL_MS = 1_000;

/** Peers that receive the totals in each interval; does not grow with the size of the fleet. */
const PEERS_PER_INTERVAL = 4;

const REQUEST_TIMEOUT_MS = 1_000;

const USAGE_TOTALS = zod.object({
  totals: zod.array(zod.object({ workspace: zod.string(), seconds: zod.number() })),
});

const USAGE_METHOD: wire.PeerMethod<zod.infer<typeof USAGE_TOTALS>, Record<string, never>> = {
  name: 'scheduling.usage',
  request: USAGE_TOTALS,
  response: zod.object({}),
};

/** Sends the service attained by each workspace here to peers, so that fairness covers all VMs. */
export class UsageExchange implements lifetime.Disposable {
  private readonly controller = new AbortController();

  private readonly registration: lifetime.Disposable;

  public constructor(
    private readonly network: wire.PeerNetwork,
    private readonly members: Pick<membership.Membership, 'available'>,
    private readonly scheduler: scheduling.Scheduler,
    private readonly clock: clockTypes.Clock,
    private readonly random: () => number,
  ) {
    this.registration = network.serve(USAGE_METHOD, async ({ totals }, from) => {
      scheduler.updatePeerUsage(from.name, totals);
      return trueMyth.Result.ok({});
    });
    this.run();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.controller.abort();
    this.registration.dispose();
  }

  private async run(): Promise<void> {
    while (!this.controller.signal.aborted) {
      await this.clock.sleep(EXCHANGE_INTERVAL_MS, this.controller.signal);
      const totals = [...this.scheduler.ownUsage()];
      if (totals.length === 0) continue;
      const peers = pickRandomPeers.pickRandomPeers(
        this.members,
        this.network.self,
        PEERS_PER_INTERVAL,
        this.random,
      );
      await Promise.all(
        peers.map((peer) =>
          this.network.request(
            peer.address,
            USAGE_METHOD,
            { totals },
            { timeoutMs: REQUEST_TIMEOUT_MS },
          ),
        ),
      );
    }
  }
}
