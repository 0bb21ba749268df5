import * as crypto from 'node:crypto';
import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import * as membership from '@limpettack/membership';
import * as targets from '@limpettack/targets';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import type * as callContext from './CallContext.js';
import * as messages from './messages.js';
import * as notifyPeers from './notifyPeers.js';
import type { QuarantineRecord, QuarantineRecords, Target } from './Types.js';

/** Number of different targets that must crash while they run a request before it is refused. */
const CRASHES_BEFORE_QUARANTINE = 3;

/** Length of the first quarantine of a request: several times the restart of a target. */
const QUARANTINE_MS = 30_000;

/** Timeout of the report of a crash. */
const REPORT_TIMEOUT_MS = 500;

/** Number of VMs that count the crashes caused by one request; the second is a backup. */
const COUNTING_VMS = 2;

/**
 * How often a quarantine is announced to a VM that does not respond, and the time in between. One that
 * is unavailable for longer is told when it is available again.
 */
const ANNOUNCEMENTS = 4;
const ANNOUNCEMENT_INTERVAL_MS = 1_000;

/**
 * The maximum number of quarantines, the latest ones, of which a VM may be told when it is available
 * again. Bounds the time that it takes to find those whose crashes are counted here.
 */
const MAXIMUM_NOTICES = 200;

/** A quarantine that ended this long ago, without a trial since, is forgotten. */
const FORGET_AFTER_MS = 3_600_000;

/** Interval at which quarantines to forget are looked for, while there are any quarantines. */
const FORGET_INTERVAL_MS = 600_000;

/** The part of `CrashWatch` that calls use. */
export type CrashReporter = Pick<CrashWatch, 'admit' | 'recordCrash' | 'recordCompletion'>;

/** Dependencies of `CrashWatch`. */
export interface CrashWatchOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'onChange'>;
  /** If given, quarantines outlive the processes that know them. */
  readonly records?: QuarantineRecords;
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
 *
 * A VM that was not there for the announcement still learns of a quarantine: one that starts reads the
 * records in the log before it serves, and one that was paused or cut off is told by the counting
 * VMs when it is available again, or at the latest in response to its first report of a crash.
 */
export class CrashWatch implements lifetime.Disposable {
  private readonly fingerprints: targets.CrashFingerprints;

  private readonly store = new lifetime.DisposableStore();

  private forgetTimer: clock.Timer | undefined;

  public constructor(private readonly options: CrashWatchOptions) {
    const { clock: time, network } = options;
    this.fingerprints = new targets.CrashFingerprints(
      time,
      CRASHES_BEFORE_QUARANTINE,
      QUARANTINE_MS,
    );
    const { store } = this;
    store.add(
      network.serve(messages.TARGET_CRASH, async ({ ageMs, fingerprint, target }) => {
        this.countCrash({ fingerprint, target, sentAt: time.now() - ageMs });
        return trueMyth.Result.ok({ quarantine: this.noticeOf(fingerprint) });
      }),
    );
    store.add(
      network.serve(messages.REQUEST_SUSPECTED, async ({ fingerprint }) => {
        this.fingerprints.addSuspect(fingerprint);
        return trueMyth.Result.ok({});
      }),
    );
    store.add(
      network.serve(messages.REQUEST_COMPLETED, async ({ fingerprint }) => {
        this.liftQuarantine(fingerprint);
        return trueMyth.Result.ok({});
      }),
    );
    store.add(
      network.serve(messages.REQUEST_QUARANTINED, async (notice) => {
        this.acceptNotice(notice);
        return trueMyth.Result.ok({});
      }),
    );
    store.add(
      network.serve(messages.QUARANTINE_LIFTED, async ({ fingerprint }) => {
        this.fingerprints.release(fingerprint);
        return trueMyth.Result.ok({});
      }),
    );
    store.add(options.membership.onChange((member) => this.informReturned(member)));
    if (options.records !== undefined) {
      store.add(options.records.onRead((record) => this.acceptRecord(record)));
    }
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
    const isCountedHere = countingVms.some(({ name }) => name === network.self.name);
    countingVms
      .filter(({ name }) => name !== network.self.name)
      .forEach(({ address }) => this.reportCrash(address, report));
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
  public async dispose(): Promise<void> {
    this.forgetTimer?.cancel();
    await this.store.dispose();
    this.fingerprints.dispose();
  }

  private async reportCrash(address: string, report: messages.CrashReport): Promise<void> {
    const options = { timeoutMs: REPORT_TIMEOUT_MS };
    const { network } = this.options;
    const response = await network.request(address, messages.TARGET_CRASH, report, options);
    if (response.isOk && response.value.quarantine !== undefined)
      this.acceptNotice(response.value.quarantine);
  }

  /** Adds a quarantine that a peer has told of. */
  private acceptNotice({ fingerprint, lengthMs, remainingMs }: messages.QuarantineNotice): void {
    this.fingerprints.addQuarantined(fingerprint, lengthMs, remainingMs);
    this.scheduleForgetting();
  }

  /**
   * Adds a quarantine that was read from the log, or removes one whose record was removed. How much
   * of it has passed is unknown, so it lasts for its whole length.
   */
  private acceptRecord({ fingerprint, lengthMs }: QuarantineRecord): void {
    const { fingerprints } = this;
    if (lengthMs === undefined) {
      fingerprints.release(fingerprint);
      return;
    }
    if (fingerprints.quarantineLength(fingerprint) >= lengthMs) return;
    fingerprints.addQuarantined(fingerprint, lengthMs);
    this.options.logger.info('A quarantine was read from the log.', {
      kind: fingerprint,
      spanMs: lengthMs,
    });
    this.scheduleForgetting();
  }

  /** Tells a VM that is available, maybe again, of the quarantines whose crashes are counted here. */
  private informReturned(member: membership.Member): void {
    const { logger, network } = this.options;
    const isAvailable = member.state === membership.MEMBER_STATES.AVAILABLE && !member.leaving;
    if (!isAvailable || member.name === network.self.name) return;
    if (!this.fingerprints.hasQuarantined) return;
    const notices = this.fingerprints
      .listQuarantined()
      .slice(-MAXIMUM_NOTICES)
      .filter(({ fingerprint }) => this.isCountedHere(fingerprint));
    if (notices.length === 0) return;
    logger.info('A VM that is available is told of quarantines.', {
      peer: member.name,
      count: notices.length,
    });
    notices.forEach((notice) => this.announce([member], toNotice(notice)));
  }

  private isCountedHere(fingerprint: string): boolean {
    const { name: ownName } = this.options.network.self;
    return this.countingVms(fingerprint).some(({ name }) => name === ownName);
  }

  private noticeOf(fingerprint: string): messages.QuarantineNotice | undefined {
    const { fingerprints } = this;
    if (fingerprints.quarantineLength(fingerprint) === 0) return undefined;
    const known = fingerprints
      .listQuarantined()
      .find((quarantined) => quarantined.fingerprint === fingerprint);
    return known && toNotice(known);
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
    this.options.records?.store(fingerprint, lengthMs);
    this.announce(this.members(), { fingerprint, lengthMs });
    this.scheduleForgetting();
  }

  /** Announces a quarantine to peers, some times to those that do not respond. */
  private async announce(
    vms: readonly membership.Member[],
    notice: messages.QuarantineNotice,
  ): Promise<void> {
    const { clock: time, network } = this.options;
    const { REQUEST_QUARANTINED } = messages;
    let peers: readonly membership.Member[] = vms.filter(({ name }) => name !== network.self.name);
    for (let announcement = 0; announcement < ANNOUNCEMENTS; announcement += 1) {
      if (announcement > 0) await time.sleep(ANNOUNCEMENT_INTERVAL_MS);
      // A VM that is told late must not be told of a quarantine that was lifted meanwhile.
      const isInForce = this.fingerprints.quarantineLength(notice.fingerprint) > 0;
      if (peers.length === 0 || !isInForce || this.store.isDisposed) return;
      peers = await notifyPeers.notifyPeers(network, peers, REQUEST_QUARANTINED, notice);
    }
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
    this.options.records?.remove(fingerprint);
    this.notify(this.members(), messages.QUARANTINE_LIFTED, { fingerprint });
  }

  private scheduleForgetting(): void {
    if (this.store.isDisposed || !this.fingerprints.hasQuarantined) return;
    this.forgetTimer ??= this.options.clock.startTimer(FORGET_INTERVAL_MS, () => {
      this.forgetTimer = undefined;
      this.forgetOld();
      this.scheduleForgetting();
    });
  }

  /** Forgets quarantines that ended long ago. One VM removes their records from the log. */
  private forgetOld(): void {
    const { network, records } = this.options;
    this.fingerprints
      .listQuarantined()
      .filter(({ remainingMs }) => remainingMs < -FORGET_AFTER_MS)
      .forEach(({ fingerprint }) => {
        this.fingerprints.release(fingerprint);
        if (this.countingVms(fingerprint)[0]?.name === network.self.name)
          records?.remove(fingerprint);
      });
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

function toNotice({
  fingerprint,
  lengthMs,
  remainingMs,
}: targets.QuarantinedRequest): messages.QuarantineNotice {
  return { fingerprint, lengthMs, remainingMs: Math.max(0, remainingMs) };
}

/**
 * Identifies what the target receives. A turn that continues another carries only its new input,
 * which many turns may share.
 */
export function fingerprintOf({ call, route, workspace }: callContext.CallContext): string {
  const previous = route.retainsTurns ? (call.programContext?.previousTurn ?? '') : '';
  return crypto
    .createHash('sha1')
    .update(`${workspace?.name ?? ''}\n${call.method}\n${call.host}\n${call.path}\n${previous}\n`)
    .update(call.body)
    .digest('base64');
}
