import type * as clock from '@limpettack/clock';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as peerMethods from './peerMethods.js';
import type { Ownership } from './Types.js';

/** Time between two comparisons with a random peer. */
const COMPARE_INTERVAL_MS = 1_000;

/** Number of peers that are told of a new claim at once. */
const TOLD_PEERS = 3;
const TIMEOUT_MS = 500;

/** What the exchange needs from the process. */
export interface ExchangeCollaborators {
  readonly network: wire.PeerNetwork;
  readonly membership: membership.Membership;
  readonly clock: clock.Clock;
}

/** The claims known here. */
export interface OwnershipTable {
  readonly shardCount: number;
  ownership(shard: number): Ownership | undefined;
  learn(ownership: Ownership): void;
}

/**
 * Spreads claims among the VMs: news goes to a few random peers at once, and each VM compares its
 * table with one random peer a second, which mends whatever a lost message left out.
 */
export class OwnershipExchange {
  public constructor(
    private readonly table: OwnershipTable,
    private readonly collaborators: ExchangeCollaborators,
  ) {}

  /** Compares the table with a few peers at once. */
  public async compareWithSome(): Promise<void> {
    await Promise.all(this.pickPeers(TOLD_PEERS).map((peer) => this.compare(peer.address)));
  }

  /** Compares the table with a random peer each second until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.collaborators.clock.sleep(COMPARE_INTERVAL_MS, signal);
      const [peer] = this.pickPeers(1);
      if (peer !== undefined && !signal.aborted) await this.compare(peer.address);
    }
  }

  /** Tells the standby and a few random peers of a new claim. */
  public tell(ownership: Ownership): void {
    const addresses = this.pickPeers(TOLD_PEERS).map((peer) => peer.address);
    const { standby } = ownership;
    const isOther = standby !== undefined && standby.name !== this.collaborators.network.self.name;
    const told = new Set(isOther ? [standby.address, ...addresses] : addresses);
    told.forEach((address) => {
      this.send(address, { news: [ownership] }).catch(() => undefined);
    });
  }

  /** Answers a peer: takes its news and returns the claims that it does not know. */
  public answer({ epochs, news }: peerMethods.ExchangeRequest): peerMethods.ExchangeResponse {
    news.forEach((ownership) => this.learn(ownership));
    if (epochs === undefined) return { news: [] };
    const known = this.knownOwnerships();
    return { news: known.filter(({ shard, epoch }) => epoch > (epochs[shard] ?? 0)) };
  }

  private async compare(address: string): Promise<void> {
    const epochs = this.shards().map((shard) => this.table.ownership(shard)?.epoch ?? 0);
    const answer = await this.send(address, { epochs, news: [] });
    if (answer.isOk) answer.value.news.forEach((ownership) => this.learn(ownership));
  }

  private send(address: string, request: peerMethods.ExchangeRequest) {
    const { network } = this.collaborators;
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
    const { membership: members, network } = this.collaborators;
    const others = members.available().filter((member) => member.name !== network.self.name);
    const weighted = others.map((member) => ({ member, weight: Math.random() }));
    weighted.sort((a, b) => a.weight - b.weight);
    return weighted.slice(0, count).map(({ member }) => member);
  }
}
