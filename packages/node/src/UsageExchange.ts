import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as membership from '@limpettack/membership';
import type * as scheduling from '@limpettack/scheduling';
import * as trueMyth from 'true-myth';
import type * as wire from '@limpettack/wire';
import * as zod from 'zod';
import * as pickRandom from './pickRandom.js';

const INTERVAL_MS = 1_000;

/** Peers that are told in each interval; constant in the size of the fleet. */
const PEERS_AT_ONCE = 4;

const TIMEOUT_MS = 1_000;

const TOTALS = zod.object({
  totals: zod.array(zod.object({ workspace: zod.string(), seconds: zod.number() })),
});

const USAGE: wire.PeerMethod<zod.infer<typeof TOTALS>, Record<string, never>> = {
  name: 'scheduling.usage',
  request: TOTALS,
  response: zod.object({}),
};

/** Tells peers what service each workspace has had here, so that fairness counts all VMs. */
export class UsageExchange implements lifetime.Disposable {
  private readonly controller = new AbortController();

  private readonly served: lifetime.Disposable;

  public constructor(
    private readonly network: wire.PeerNetwork,
    private readonly members: Pick<membership.Membership, 'available'>,
    private readonly scheduler: scheduling.Scheduler,
    private readonly clock: clockTypes.Clock,
    private readonly random: () => number,
  ) {
    this.served = network.serve(USAGE, async ({ totals }, from) => {
      scheduler.learnUsage(from.name, totals);
      return trueMyth.Result.ok({});
    });
    this.run();
  }

  /** @inheritdoc */
  public dispose(): void {
    this.controller.abort();
    this.served.dispose();
  }

  private async run(): Promise<void> {
    while (!this.controller.signal.aborted) {
      await this.clock.sleep(INTERVAL_MS, this.controller.signal);
      const totals = [...this.scheduler.ownUsage()];
      if (totals.length === 0) continue;
      const peers = pickRandom.pickPeers(
        this.members,
        this.network.self,
        PEERS_AT_ONCE,
        this.random,
      );
      await Promise.all(
        peers.map((peer) =>
          this.network.request(peer.address, USAGE, { totals }, { timeoutMs: TIMEOUT_MS }),
        ),
      );
    }
  }
}
