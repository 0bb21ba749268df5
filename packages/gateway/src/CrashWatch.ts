import * as crypto from 'node:crypto';
import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import * as targets from '@limpettack/targets';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import type * as callContext from './CallContext.js';
import * as messages from './messages.js';
import type { Target } from './Types.js';

/** Different targets that must have died while they ran a request for it to be refused. */
const DEATHS_TO_REFUSE = 3;

/** VMs that keep count of the deaths by one request; the second stands in for the first. */
const KEEPERS = 2;

/** Time for a peer to take news. */
const NEWS_TIMEOUT_MS = 500;

/** Peers that are told of a quarantine at once. */
const TOLD_AT_ONCE = 16;

/** What calls report and ask of requests that crash targets. */
export type CrashNotes = Pick<CrashWatch, 'isRefused' | 'noteDeath' | 'noteCompleted'>;

/** What the watch needs. */
export interface CrashWatchOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/**
 * Finds requests that crash each target that runs them, by what all VMs have seen. Connections to
 * targets break for many reasons, so a death is told only to those that keep count of its request,
 * by rendezvous hashing; a request that is refused, which is rare, is told to all.
 */
export class CrashWatch implements lifetime.Disposable {
  private readonly fingerprints: targets.CrashFingerprints;

  private readonly served: readonly lifetime.Disposable[];

  public constructor(private readonly options: CrashWatchOptions) {
    this.fingerprints = new targets.CrashFingerprints(options.clock, DEATHS_TO_REFUSE);
    const { clock: time, network } = options;
    this.served = [
      network.serve(messages.TARGET_DEATH, async ({ fingerprint, target }) => {
        this.count({ fingerprint, target, sentAt: time.now() });
        return trueMyth.Result.ok({});
      }),
      network.serve(messages.REQUEST_QUARANTINED, async ({ fingerprint }) => {
        this.fingerprints.learn(fingerprint);
        return trueMyth.Result.ok({});
      }),
    ];
  }

  /** Whether a request is refused because targets have died of it. */
  public isRefused(context: callContext.CallContext): boolean {
    const { fingerprints } = this;
    return fingerprints.hasQuarantined && fingerprints.isQuarantined(fingerprintOf(context));
  }

  /** Notes that a target closed the connection while it ran a request, and tells who counts. */
  public noteDeath(
    context: callContext.CallContext,
    target: Target,
    sentAt: clock.Milliseconds,
  ): void {
    const fingerprint = fingerprintOf(context);
    this.count({ fingerprint, target: target.id, sentAt });
    const { logger, membership: members, network } = this.options;
    const keepers = keyedLog
      .rankByRendezvous(fingerprint, members.available(), ({ name }) => name)
      .slice(0, KEEPERS);
    logger.warn('A target closed the connection while it ran a request.', {
      request: context.call.id,
      target: target.id,
      reason: `counted at ${keepers.map(({ name }) => name).join(', ')}`,
    });
    keepers
      .filter(({ name }) => name !== network.self.name)
      .forEach(({ address }) => {
        const request = { fingerprint, target: target.id };
        network.request(address, messages.TARGET_DEATH, request, { timeoutMs: NEWS_TIMEOUT_MS });
      });
  }

  /** Notes that a target ran a request to its end. */
  public noteCompleted(context: callContext.CallContext): void {
    if (this.fingerprints.hasSuspects) this.fingerprints.noteCompleted(fingerprintOf(context));
  }

  /** @inheritdoc */
  public dispose(): void {
    this.served.forEach((served) => served.dispose());
    this.fingerprints.dispose();
  }

  private count(death: targets.TargetDeath): void {
    const { fingerprint } = death;
    if (this.fingerprints.isQuarantined(fingerprint)) return;
    if (this.fingerprints.noteDeath(death)) this.tellAll(fingerprint);
  }

  private async tellAll(fingerprint: string): Promise<void> {
    const { logger, membership: members, network } = this.options;
    const others = members.available().filter(({ name }) => name !== network.self.name);
    logger.warn('A request is refused from now on: targets died of it.', {
      kind: fingerprint,
      count: others.length,
    });
    for (let start = 0; start < others.length; start += TOLD_AT_ONCE) {
      await Promise.all(
        others
          .slice(start, start + TOLD_AT_ONCE)
          .map(({ address }) =>
            network.request(
              address,
              messages.REQUEST_QUARANTINED,
              { fingerprint },
              { timeoutMs: NEWS_TIMEOUT_MS },
            ),
          ),
      );
    }
  }
}

function fingerprintOf({ call, workspace }: callContext.CallContext): string {
  return crypto
    .createHash('sha1')
    .update(`${workspace?.name ?? ''}\n${call.method}\n${call.host}\n${call.path}\n`)
    .update(call.body)
    .digest('base64');
}
