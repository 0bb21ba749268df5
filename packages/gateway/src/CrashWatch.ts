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
import * as notifyPeers from './notifyPeers.js';
import type { Target } from './Types.js';

/** Number of different targets that must crash while they run a request before it is refused. */
const CRASHES_BEFORE_QUARANTINE = 3;

/** Number of VMs that count the crashes caused by one request; the second is a backup. */
const COUNTING_VMS = 2;

/** The part of `CrashWatch` that calls use. */
export type CrashReporter = Pick<CrashWatch, 'isRefused' | 'recordCrash' | 'recordCompletion'>;

/** Dependencies of `CrashWatch`. */
export interface CrashWatchOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/**
 * Detects requests that crash each target that runs them, from the observations of all VMs.
 *
 * A connection that a target closes while it runs a request is treated as a crash. Because
 * connections break for many reasons, this is reported only to the VMs that count the crashes of
 * that request, which are chosen by rendezvous hashing. The quarantine of a request, which is rare,
 * is announced to all VMs.
 */
export class CrashWatch implements lifetime.Disposable {
  private readonly fingerprints: targets.CrashFingerprints;

  private readonly handlers: readonly lifetime.Disposable[];

  public constructor(private readonly options: CrashWatchOptions) {
    this.fingerprints = new targets.CrashFingerprints(options.clock, CRASHES_BEFORE_QUARANTINE);
    const { clock: time, network } = options;
    this.handlers = [
      network.serve(messages.TARGET_CRASH, async ({ fingerprint, target }) => {
        this.countCrash({ fingerprint, target, sentAt: time.now() });
        return trueMyth.Result.ok({});
      }),
      network.serve(messages.REQUEST_QUARANTINED, async ({ fingerprint }) => {
        this.fingerprints.addQuarantined(fingerprint);
        return trueMyth.Result.ok({});
      }),
    ];
  }

  /** Whether a request is refused because it has crashed targets. */
  public isRefused(context: callContext.CallContext): boolean {
    const { fingerprints } = this;
    return fingerprints.hasQuarantined && fingerprints.isQuarantined(fingerprintOf(context));
  }

  /**
   * Counts a target's crash (it closed the connection while it ran the request) and reports it to
   * the VMs that count the crashes of this request.
   */
  public recordCrash(
    context: callContext.CallContext,
    target: Target,
    sentAt: clock.Milliseconds,
  ): void {
    const fingerprint = fingerprintOf(context);
    this.countCrash({ fingerprint, target: target.id, sentAt });
    const { logger, membership: members, network } = this.options;
    const countingVms = keyedLog
      .rankByRendezvous(fingerprint, members.available(), ({ name }) => name)
      .slice(0, COUNTING_VMS);
    logger.warn('A target closed the connection while it ran a request.', {
      request: context.call.id,
      target: target.id,
      reason: `counted at ${countingVms.map(({ name }) => name).join(', ')}`,
    });
    const peers = countingVms.filter(({ name }) => name !== network.self.name);
    const report = { fingerprint, target: target.id };
    notifyPeers.notifyPeers(network, peers, messages.TARGET_CRASH, report);
  }

  /** Records that a target completed a request. */
  public recordCompletion(context: callContext.CallContext): void {
    if (this.fingerprints.hasSuspects) this.fingerprints.noteCompleted(fingerprintOf(context));
  }

  /** @inheritdoc */
  public dispose(): void {
    this.handlers.forEach((handler) => handler.dispose());
    this.fingerprints.dispose();
  }

  private countCrash(crash: targets.TargetCrash): void {
    const { fingerprint } = crash;
    if (this.fingerprints.isQuarantined(fingerprint)) return;
    if (this.fingerprints.noteCrash(crash)) this.announceQuarantine(fingerprint);
  }

  private announceQuarantine(fingerprint: string): void {
    const { logger, membership: members, network } = this.options;
    const others = members.available().filter(({ name }) => name !== network.self.name);
    logger.warn('A request is quarantined because it crashed targets.', {
      kind: fingerprint,
      count: others.length,
    });
    notifyPeers.notifyPeers(network, others, messages.REQUEST_QUARANTINED, { fingerprint });
  }
}

function fingerprintOf({ call, workspace }: callContext.CallContext): string {
  return crypto
    .createHash('sha1')
    .update(`${workspace?.name ?? ''}\n${call.method}\n${call.host}\n${call.path}\n`)
    .update(call.body)
    .digest('base64');
}
