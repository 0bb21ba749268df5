import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import type { StreamRecord } from './Types.js';
import * as peerMethods from './peerMethods.js';

/** Interval of pulls from peers while the log cannot be read, in milliseconds, before jitter. */
const PULL_INTERVAL_MS = 750;

/** Number of peers that a pull or announcement is sent to. */
const FAN_OUT = 3;

const REQUEST_TIMEOUT_MS = 1_000;

/** Delay before an announced version is pulled, so the log can deliver it, in milliseconds. */
const LOG_GRACE_MS = 500;

/** Dependencies of an exchange, which its follower provides. */
export interface ConfigurationExchangeOptions {
  readonly network: wire.PeerNetwork;
  readonly peers: () => readonly string[];
  readonly clock: clock.Clock;
  readonly random: () => number;
  /** Returns how far this VM has read. */
  readonly position: () => peerMethods.PullRequest;
  /** Returns the records that bring a peer from its position to that of this VM. */
  readonly recordsFor: (request: peerMethods.PullRequest) => readonly StreamRecord[];
  readonly isReady: () => boolean;
  /** Returns false when the log cannot be read or lacks records that this VM needs. */
  readonly isLogSufficient: () => boolean;
  readonly applyResponse: (response: peerMethods.PullResponse) => void;
  /** Called after a pull from all chosen peers, if at least one that responded was ready. */
  readonly completePull: () => void;
}

/** Exchanges new configurations between peers, so that VMs cut off from the log receive them. */
export class ConfigurationExchange implements lifetime.Disposable {
  private readonly disposables = new lifetime.DisposableStore();

  private readonly closing = new AbortController();

  public constructor(private readonly options: ConfigurationExchangeOptions) {
    const { network } = options;
    this.disposables.add(
      network.serve(peerMethods.PULL, async (request) =>
        trueMyth.Result.ok(this.answerPull(request)),
      ),
    );
    this.disposables.add(
      network.serve(peerMethods.ANNOUNCE, async (request, from) => {
        this.fetchAnnounced(request, from.address).catch(() => undefined);
        return trueMyth.Result.ok({});
      }),
    );
  }

  /** Pulls from peers at intervals while the log is not sufficient, until the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.options.isLogSufficient()) await this.pullFromPeers();
      await this.options.clock.sleep(PULL_INTERVAL_MS * (0.75 + this.options.random() / 2), signal);
    }
  }

  /** Announces to a few random peers how far this VM has read. */
  public announce(): void {
    const { version, offset } = this.options.position();
    this.pickRandomPeers().forEach((peer) => {
      this.options.network
        .request(peer, peerMethods.ANNOUNCE, { version, offset }, { timeoutMs: REQUEST_TIMEOUT_MS })
        .catch(() => undefined);
    });
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.closing.abort();
    await this.disposables.dispose();
  }

  private answerPull(request: peerMethods.PullRequest): peerMethods.PullResponse {
    const ready = this.options.isReady();
    const { version, offset, hasGap } = this.options.position();
    const isAhead = !hasGap && (request.hasGap || offset > request.offset);
    const records = isAhead ? [...this.options.recordsFor(request)] : [];
    return { ready, version, offset, records };
  }

  private async fetchAnnounced(position: peerMethods.Announcement, from: string): Promise<void> {
    if (this.options.isLogSufficient()) {
      await this.options.clock.sleep(LOG_GRACE_MS, this.closing.signal);
    }
    if (this.closing.signal.aborted) return;
    if (position.offset > this.options.position().offset) await this.pull(from);
  }

  private async pullFromPeers(): Promise<void> {
    // A VM that is not ready pulls from all peers, to get the highest version that it can reach.
    const peers = this.options.isReady() ? this.pickRandomPeers() : this.options.peers();
    const responses = await Promise.all(peers.map((peer) => this.pull(peer)));
    if (responses.some((response) => response?.ready === true)) this.options.completePull();
  }

  private async pull(peer: string): Promise<peerMethods.PullResponse | undefined> {
    const result = await this.options.network.request(
      peer,
      peerMethods.PULL,
      this.options.position(),
      { timeoutMs: REQUEST_TIMEOUT_MS },
    );
    if (result.isErr) return undefined;
    this.options.applyResponse(result.value);
    return result.value;
  }

  /** Returns a few random peers. */
  private pickRandomPeers(): readonly string[] {
    const drawn = this.options.peers().map((peer) => ({ peer, order: this.options.random() }));
    drawn.sort((left, right) => left.order - right.order);
    return drawn.slice(0, FAN_OUT).map(({ peer }) => peer);
  }
}
