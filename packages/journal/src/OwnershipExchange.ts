import type * as clock from '@limpettack/clock';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as peerMethods from './peerMethods.js';
import type { Ownership } from './Types.js';

/** Interval at which the known claims are compared with those of a random peer. */
const COMPARE_INTERVAL_MS = 1_000;

/**
 * Number of random peers that receive a new claim, and of those whose claims are compared at the
 * start.
 */
const PEERS_AT_ONCE = 3;
const TIMEOUT_MS = 500;

/** Dependencies of the exchange. */
export interface ExchangeDependencies {
  readonly network: wire.PeerNetwork;
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
}

/** The latest claim of each shard that is known to this process. */
export interface OwnershipTable {
  readonly shardCount: number;
  ownership(shard: number): Ownership | undefined;
  learn(ownership: Ownership): void;
}

/**
 * Spreads claims among the VMs. A new claim is sent to the standby and a few random peers
 * immediately. In addition, each VM compares its table with one random peer a second, which makes
 * up for lost messages.
 */
export class OwnershipExchange {
  public constructor(
    private readonly table: OwnershipTable,
    private readonly dependencies: ExchangeDependencies,
  ) {}

  /** Compares the table with several random peers in parallel. */
  public async compareWithPeers(): Promise<void> {
    await Promise.all(this.pickPeers(PEERS_AT_ONCE).map((peer) => this.compare(peer.address)));
  }

  /** Compares the table with a random peer each second until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.dependencies.clock.sleep(COMPARE_INTERVAL_MS, signal);
      const [peer] = this.pickPeers(1);
      if (peer !== undefined && !signal.aborted) await this.compare(peer.address);
    }
  }

  /** Sends a new claim to the standby and a few random peers. */
  public announce(ownership: Ownership): void {
    const addresses = this.pickPeers(PEERS_AT_ONCE).map((peer) => peer.address);
    const { standby } = ownership;
    const isOther = standby !== undefined && standby.name !== this.dependencies.network.self.name;
    const recipients = new Set(isOther ? [standby.address, ...addresses] : addresses);
    recipients.forEach((address) => {
      this.send(address, { news: [ownership] }).catch(() => undefined);
    });
  }

  /** Handles a peer's request: stores its claims and returns those that the peer does not know. */
  public respond({ epochs, news }: peerMethods.ExchangeRequest): peerMethods.ExchangeResponse {
    news.forEach((ownership) => this.learn(ownership));
    if (epochs === undefined) return { news: [] };
    const known = this.knownOwnerships();
    return { news: known.filter(({ shard, epoch }) => epoch > (epochs[shard] ?? 0)) };
  }

  private async compare(address: string): Promise<void> {
    const epochs = this.shards().map((shard) => this.table.ownership(shard)?.epoch ?? 0);
    const response = await this.send(address, { epochs, news: [] });
    if (response.isOk) response.value.news.forEach((ownership) => this.learn(ownership));
  }

  private send(address: string, request: peerMethods.ExchangeRequest) {
    const { network } = this.dependencies;
    const options = { timeoutMs: TIMEOUT_MS };
    return network.request(address, peerMethods.exchange, request, options);
  }

  private learn(ownership: Ownership): void {
    if (ownership.shard < this.table.shardCount) this.table.learn(ownership);
  }

  private knownOwnerships(): Ownership[] {
    const entries = this.shards().map((shard) => this.table.ownership(shard));
    return entries.filter((ownership) => ownership !== undefined);
  }

  private shards(): number[] {
    return Array.from({ length: this.table.shardCount }, (_, shard) => shard);
  }

  private pickPeers(count: number): membership.Member[] {
    const { membership: members, network } = this.dependencies;
    const others = members.available().filter((member) => member.name !== network.self.name);
    const weighted = others.map((member) => ({ member, weight: Math.random() }));
    weighted.sort((a, b) => a.weight - b.weight);
    return weighted.slice(0, count).map(({ member }) => member);
  }
}
