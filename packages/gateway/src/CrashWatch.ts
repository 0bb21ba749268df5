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

/** Length of the first quarantine of a request: several times the restart of a target. */
const QUARANTINE_MS = 30_000;

/** Number of VMs that count the crashes caused by one request; the second is a backup. */
const COUNTING_VMS = 2;

/** The part of `CrashWatch` that calls use. */
export type CrashReporter = Pick<CrashWatch, 'admit' | 'recordCrash' | 'recordCompletion'>;

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
 * that request, which are chosen by rendezvous hashing. Before the crash that would quarantine it,
 * all VMs are asked to report if a target completes the request: it then crashes no targets, and
 * the count starts anew. Quarantines, which are rare, are announced to all VMs. They end, since a
 * request may have met faulty connections only.
 */
export class CrashWatch implements lifetime.Disposable {
  private readonly fingerprints: targets.CrashFingerprints;

  private readonly handlers: readonly lifetime.Disposable[];

  public constructor(private readonly options: CrashWatchOptions) {
    const { clock: time, network } = options;
    this.fingerprints = new targets.CrashFingerprints(
      time,
      CRASHES_BEFORE_QUARANTINE,
      QUARANTINE_MS,
    );
    this.handlers = [
      network.serve(messages.TARGET_CRASH, async ({ ageMs, fingerprint, target }) => {
        this.countCrash({ fingerprint, target, sentAt: time.now() - ageMs });
        return trueMyth.Result.ok({});
      }),
      network.serve(messages.REQUEST_SUSPECTED, async ({ fingerprint }) => {
        this.fingerprints.addSuspect(fingerprint);
        return trueMyth.Result.ok({});
      }),
      network.serve(messages.REQUEST_COMPLETED, async ({ fingerprint }) => {
        this.liftQuarantine(fingerprint);
        return trueMyth.Result.ok({});
      }),
      network.serve(messages.REQUEST_QUARANTINED, async ({ fingerprint, lengthMs }) => {
        this.fingerprints.addQuarantined(fingerprint, lengthMs);
        return trueMyth.Result.ok({});
      }),
      network.serve(messages.QUARANTINE_LIFTED, async ({ fingerprint }) => {
        this.fingerprints.release(fingerprint);
        return trueMyth.Result.ok({});
      }),
    ];
  }

  /** Returns whether a request may run. It may not while it is quarantined. */
  public admit(context: callContext.CallContext): boolean {
    const { fingerprints } = this;
    return !fingerprints.hasQuarantined || fingerprints.admit(fingerprintOf(context));
  }

  /**
   * Reports a target's crash (it closed the connection while it ran the request) to the VMs that
   * count the crashes of this request.
   */
  public recordCrash(
    context: callContext.CallContext,
    target: Target,
    sentAt: clock.Milliseconds,
  ): void {
    const { clock: time, logger, network } = this.options;
    const fingerprint = fingerprintOf(context);
    const countingVms = this.countingVms(fingerprint);
    logger.warn('A target closed the connection while it ran a request.', {
      request: context.call.id,
      target: target.id,
      kind: fingerprint,
      reason: `counted at ${countingVms.map(({ name }) => name).join(', ')}`,
    });
    const ageMs = Math.max(0, time.now() - sentAt);
    const report = { fingerprint, target: target.id, ageMs };
    this.notify(countingVms, messages.TARGET_CRASH, report);
    const isCountedHere = countingVms.some(({ name }) => name === network.self.name);
    // Each VM renews a quarantine by itself, so that no further trial runs until others know.
    if (isCountedHere || this.fingerprints.isFailedTrial(fingerprint, sentAt))
      this.countCrash({ fingerprint, target: target.id, sentAt });
  }

  /** Records that a target completed a request, so that the request is not to blame for crashes. */
  public recordCompletion(context: callContext.CallContext): void {
    if (!this.fingerprints.awaitsCompletions) return;
    const fingerprint = fingerprintOf(context);
    if (!this.fingerprints.release(fingerprint)) return;
    const { logger } = this.options;
    logger.info('A target completed a request that was suspected of crashing targets.', {
      request: context.call.id,
      kind: fingerprint,
    });
    this.notify(this.countingVms(fingerprint), messages.REQUEST_COMPLETED, { fingerprint });
  }

  /** @inheritdoc */
  public dispose(): void {
    this.handlers.forEach((handler) => handler.dispose());
    this.fingerprints.dispose();
  }

  private countCrash(crash: targets.TargetCrash): void {
    const { fingerprints } = this;
    const { fingerprint } = crash;
    if (fingerprints.isQuarantined(fingerprint)) return;
    const countBefore = fingerprints.crashCount(fingerprint);
    if (fingerprints.noteCrash(crash)) this.announceQuarantine(crash);
    const count = fingerprints.crashCount(fingerprint);
    if (count > countBefore && count === CRASHES_BEFORE_QUARANTINE - 1)
      this.notify(this.members(), messages.REQUEST_SUSPECTED, { fingerprint });
  }

  private announceQuarantine({ fingerprint, target }: targets.TargetCrash): void {
    const { logger } = this.options;
    const lengthMs = this.fingerprints.quarantineLength(fingerprint);
    logger.warn('A request is quarantined because it crashed targets.', {
      kind: fingerprint,
      target,
      count: this.members().length,
      spanMs: lengthMs,
    });
    this.notify(this.members(), messages.REQUEST_QUARANTINED, { fingerprint, lengthMs });
  }

  /** Ends the suspicion and the quarantine of a request that a target has completed. */
  private liftQuarantine(fingerprint: string): void {
    const { fingerprints } = this;
    const wasQuarantined = fingerprints.quarantineLength(fingerprint) > 0;
    fingerprints.release(fingerprint);
    if (!wasQuarantined) return;
    const { logger } = this.options;
    logger.info('A quarantine is lifted because a target completed the request.', {
      kind: fingerprint,
    });
    this.notify(this.members(), messages.QUARANTINE_LIFTED, { fingerprint });
  }

  private members(): readonly membership.Member[] {
    return this.options.membership.available();
  }

  private countingVms(fingerprint: string): readonly membership.Member[] {
    return keyedLog
      .rankByRendezvous(fingerprint, this.members(), ({ name }) => name)
      .slice(0, COUNTING_VMS);
  }

  /** Sends a message to those of the VMs that are peers. */
  private notify<Request, Response>(
    vms: readonly membership.Member[],
    method: wire.PeerMethod<Request, Response>,
    request: Request,
  ): void {
    const { network } = this.options;
    const peers = vms.filter(({ name }) => name !== network.self.name);
    notifyPeers.notifyPeers(network, peers, method, request);
  }
}

/**
 * Identifies what the target receives. A turn that continues another carries only its new input,
 * which many turns may share.
 */
function fingerprintOf({ call, route, workspace }: callContext.CallContext): string {
  const previous = route.retainsTurns ? (call.programContext?.previousTurn ?? '') : '';
  return crypto
    .createHash('sha1')
    .update(`${workspace?.name ?? ''}\n${call.method}\n${call.host}\n${call.path}\n${previous}\n`)
    .update(call.body)
    .digest('base64');
}
