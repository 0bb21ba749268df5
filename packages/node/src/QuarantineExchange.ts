import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as membership from '@limpettack/membership';
import type * as programs from '@limpettack/programs';
import type * as targets from '@limpettack/targets';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import * as pickRandom from './pickRandom.js';

const INTERVAL_MS = 5_000;
const TIMEOUT_MS = 1_000;

/** Fingerprints that are passed on, the latest ones. */
const MAXIMUM_FINGERPRINTS = 1_000;

const NEWS = zod.object({
  fingerprints: zod.array(zod.string()).max(MAXIMUM_FINGERPRINTS),
  deaths: zod.array(zod.object({ fingerprint: zod.string(), target: zod.string() })).max(100),
});

const QUARANTINE: wire.PeerMethod<zod.infer<typeof NEWS>, zod.infer<typeof NEWS>> = {
  name: 'targets.quarantine',
  request: NEWS,
  response: NEWS,
};

/** What the exchange needs. */
export interface QuarantineExchangeOptions {
  readonly network: wire.PeerNetwork;
  readonly members: Pick<membership.Membership, 'available'>;
  readonly crashes: targets.CrashFingerprints;
  /** Appends to the journal what was quarantined here. */
  readonly journal: (fingerprint: string) => void;
  readonly clock: clockTypes.Clock;
  readonly random: () => number;
}

/** Lets all VMs know of the requests that targets died of, at once and again for late ones. */
export class QuarantineExchange implements programs.CrashRecord, lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly controller = new AbortController();

  private readonly known = new Set<string>();

  public constructor(private readonly options: QuarantineExchangeOptions) {
    const { network, crashes } = options;
    this.store.addCallback(() => this.controller.abort());
    this.store.add(
      network.serve(QUARANTINE, async (news) => {
        this.take(news);
        return trueMyth.Result.ok({ fingerprints: this.latest(), deaths: [] });
      }),
    );
    this.store.add(
      crashes.onQuarantine((fingerprint) => {
        this.known.add(fingerprint);
        options.journal(fingerprint);
      }),
    );
    this.run();
  }

  /** @inheritdoc */
  public isQuarantined(fingerprint: string): boolean {
    return this.options.crashes.isQuarantined(fingerprint);
  }

  /** @inheritdoc */
  public noteDeath(fingerprint: string, target: string, sentAt: clockTypes.Milliseconds): void {
    this.options.crashes.noteDeath({ fingerprint, target, sentAt });
    const news = { fingerprints: this.latest(), deaths: [{ fingerprint, target }] };
    this.options.members.available().forEach((peer) => this.tell(peer.address, news));
  }

  /** @inheritdoc */
  public noteCompleted(fingerprint: string): void {
    this.options.crashes.noteCompleted(fingerprint);
  }

  /** Takes over what the journal says. */
  public learn(fingerprints: Iterable<string>): void {
    [...fingerprints].forEach((fingerprint) => {
      this.known.add(fingerprint);
      this.options.crashes.learn(fingerprint);
    });
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  private take(news: zod.infer<typeof NEWS>): void {
    this.learn(news.fingerprints);
    const sentAt = this.options.clock.now();
    news.deaths.forEach((death) => this.options.crashes.noteDeath({ ...death, sentAt }));
  }

  private async run(): Promise<void> {
    while (!this.controller.signal.aborted) {
      const { network, members, random } = this.options;
      const peers = pickRandom.pickPeers(members, network.self, 1, random);
      const news = { fingerprints: this.latest(), deaths: [] };
      await Promise.all(peers.map((peer) => this.tell(peer.address, news)));
      await this.options.clock.sleep(INTERVAL_MS, this.controller.signal);
    }
  }

  private async tell(address: string, news: zod.infer<typeof NEWS>): Promise<void> {
    const { network } = this.options;
    if (address === network.self.address) return;
    const answer = await network.request(address, QUARANTINE, news, { timeoutMs: TIMEOUT_MS });
    if (answer.isOk) this.learn(answer.value.fingerprints);
  }

  private latest(): string[] {
    return [...this.known].slice(-MAXIMUM_FINGERPRINTS);
  }
}
