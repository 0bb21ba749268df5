import type * as clockTypes from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as membership from '@limpettack/membership';
import type * as programs from '@limpettack/programs';
import type * as targets from '@limpettack/targets';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as zod from 'zod';
import * as pickRandomPeers from './pickRandomPeers.js';

const EXCHANGE_INTERVAL_MS = 5_000;
const REQUEST_TIMEOUT_MS = 1_000;

/** Maximum number of fingerprints in an update; the latest ones are sent. */
const MAXIMUM_FINGERPRINTS = 1_000;

const QUARANTINE_UPDATE = zod.object({
  fingerprints: zod.array(zod.string()).max(MAXIMUM_FINGERPRINTS),
  deaths: zod.array(zod.object({ fingerprint: zod.string(), target: zod.string() })).max(100),
});

const QUARANTINE_METHOD: wire.PeerMethod<
  zod.infer<typeof QUARANTINE_UPDATE>,
  zod.infer<typeof QUARANTINE_UPDATE>
> = {
  name: 'targets.quarantine',
  request: QUARANTINE_UPDATE,
  response: QUARANTINE_UPDATE,
};

/** Collaborators of a `QuarantineExchange`. */
export interface QuarantineExchangeOptions {
  readonly network: wire.PeerNetwork;
  readonly members: Pick<membership.Membership, 'available'>;
  readonly crashes: targets.CrashFingerprints;
  /** Appends to the journal the fingerprint of a request that this process quarantined. */
  readonly journal: (fingerprint: string) => void;
  readonly clock: clockTypes.Clock;
  readonly random: () => number;
}

/**
 * Shares the quarantined requests with all VMs. A crash of a target is sent to every peer at once;
 * the fingerprints are also exchanged with a random peer at an interval, for VMs that missed it.
 */
export class QuarantineExchange implements programs.CrashRecord, lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly controller = new AbortController();

  private readonly knownFingerprints = new Set<string>();

  public constructor(private readonly options: QuarantineExchangeOptions) {
    const { network, crashes } = options;
    this.store.addCallback(() => this.controller.abort());
    this.store.add(
      network.serve(QUARANTINE_METHOD, async (update) => {
        this.receive(update);
        return trueMyth.Result.ok({ fingerprints: this.latestFingerprints(), deaths: [] });
      }),
    );
    this.store.add(
      crashes.onQuarantine((fingerprint) => {
        this.knownFingerprints.add(fingerprint);
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
  public noteCrash(fingerprint: string, target: string, sentAt: clockTypes.Milliseconds): void {
    this.options.crashes.noteCrash({ fingerprint, target, sentAt });
    const update = { fingerprints: this.latestFingerprints(), deaths: [{ fingerprint, target }] };
    this.options.members.available().forEach((peer) => this.send(peer.address, update));
  }

  /** @inheritdoc */
  public noteCompleted(fingerprint: string): void {
    this.options.crashes.noteCompleted(fingerprint);
  }

  /** Adds quarantined fingerprints, such as those read from the journal. */
  public addQuarantined(fingerprints: Iterable<string>): void {
    [...fingerprints].forEach((fingerprint) => {
      this.knownFingerprints.add(fingerprint);
      this.options.crashes.addQuarantined(fingerprint);
    });
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  private receive(update: zod.infer<typeof QUARANTINE_UPDATE>): void {
    this.addQuarantined(update.fingerprints);
    const sentAt = this.options.clock.now();
    update.deaths.forEach((death) => this.options.crashes.noteCrash({ ...death, sentAt }));
  }

  private async run(): Promise<void> {
    while (!this.controller.signal.aborted) {
      const { network, members, random } = this.options;
      const peers = pickRandomPeers.pickRandomPeers(members, network.self, 1, random);
      const update = { fingerprints: this.latestFingerprints(), deaths: [] };
      await Promise.all(peers.map((peer) => this.send(peer.address, update)));
      await this.options.clock.sleep(EXCHANGE_INTERVAL_MS, this.controller.signal);
    }
  }

  private async send(address: string, update: zod.infer<typeof QUARANTINE_UPDATE>): Promise<void> {
    const { network } = this.options;
    if (address === network.self.address) return;
    const response = await network.request(address, QUARANTINE_METHOD, update, {
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    if (response.isOk) this.addQuarantined(response.value.fingerprints);
  }

  private latestFingerprints(): string[] {
    return [...this.knownFingerprints].slice(-MAXIMUM_FINGERPRINTS);
  }
}
