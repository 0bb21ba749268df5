import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import type { StreamRecord } from './Types.js';
import * as peerMethods from './peerMethods.js';

/** How often a VM that cannot read the log asks its peers, in milliseconds, before jitter. */
const PULL_INTERVAL_MS = 750;

/** How many peers are asked or told at a time. */
const FAN_OUT = 3;

const REQUEST_TIMEOUT_MS = 1_000;

/** How long an announced version may take to come by the log, in milliseconds. */
const LOG_GRACE_MS = 500;

/** What an exchange needs of its follower. */
export interface PeerExchangeOptions {
  readonly network: wire.PeerNetwork;
  readonly peers: () => readonly string[];
  readonly clock: clock.Clock;
  readonly random: () => number;
  /** How far this VM has read. */
  readonly position: () => peerMethods.PullRequest;
  /** The records that bring a peer from its position to this VM's. */
  readonly recordsFor: (request: peerMethods.PullRequest) => readonly StreamRecord[];
  readonly isReady: () => boolean;
  /** False when the log cannot be read or lacks records that this VM needs. */
  readonly isLogEnough: () => boolean;
  readonly take: (answer: peerMethods.PullAnswer) => void;
  /** Called when all reachable peers were asked and one of them was ready. */
  readonly completePull: () => void;
}

/** Passes newer configurations between peers, so that a VM cut off from the log still learns. */
export class PeerExchange implements lifetime.Disposable {
  private readonly disposables = new lifetime.DisposableStore();

  private readonly closing = new AbortController();

  public constructor(private readonly options: PeerExchangeOptions) {
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

  /** Asks peers at intervals while the log cannot be read. Ends when the signal aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (!this.options.isLogEnough()) await this.pullFromPeers();
      await this.options.clock.sleep(PULL_INTERVAL_MS * (0.75 + this.options.random() / 2), signal);
    }
  }

  /** Tells some peers how far this VM is. */
  public announce(): void {
    const { version, offset } = this.options.position();
    this.somePeers().forEach((peer) => {
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

  private answerPull(request: peerMethods.PullRequest): peerMethods.PullAnswer {
    const ready = this.options.isReady();
    const { version, offset, hasGap } = this.options.position();
    const isAhead = !hasGap && (request.hasGap || offset > request.offset);
    const records = isAhead ? [...this.options.recordsFor(request)] : [];
    return { ready, version, offset, records };
  }

  private async fetchAnnounced(position: peerMethods.Announcement, from: string): Promise<void> {
    if (this.options.isLogEnough()) {
      await this.options.clock.sleep(LOG_GRACE_MS, this.closing.signal);
    }
    if (this.closing.signal.aborted) return;
    if (position.offset > this.options.position().offset) await this.pull(from);
  }

  private async pullFromPeers(): Promise<void> {
    // A VM that has nothing yet takes the highest version among all that it can reach.
    const peers = this.options.isReady() ? this.somePeers() : this.options.peers();
    const answers = await Promise.all(peers.map((peer) => this.pull(peer)));
    if (answers.some((answer) => answer?.ready === true)) this.options.completePull();
  }

  private async pull(peer: string): Promise<peerMethods.PullAnswer | undefined> {
    const result = await this.options.network.request(
      peer,
      peerMethods.PULL,
      this.options.position(),
      { timeoutMs: REQUEST_TIMEOUT_MS },
    );
    if (result.isErr) return undefined;
    this.options.take(result.value);
    return result.value;
  }

  /** A few peers, drawn at random. */
  private somePeers(): readonly string[] {
    const drawn = this.options.peers().map((peer) => ({ peer, order: this.options.random() }));
    drawn.sort((left, right) => left.order - right.order);
    return drawn.slice(0, FAN_OUT).map(({ peer }) => peer);
  }
}
