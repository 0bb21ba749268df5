import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as acceptedSuspicions from './AcceptedSuspicions.js';
import * as failureReports from './FailureReports.js';
import * as messages from './messages.js';
import * as notifyPeers from './notifyPeers.js';
import type * as targetRegistry from './TargetRegistry.js';
import type * as targetScores from './TargetScores.js';

/** Number of VMs that collect the reports of one target; the second is a backup. */
const COLLECTING_VMS = 2;

/** Minimum time between two reports of the same target by one VM. */
const REPORT_INTERVAL_MS = 300;

/** Dependencies of `TargetWatch`. */
export interface TargetWatchOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly registry: Pick<targetRegistry.TargetRegistry, 'find' | 'onRemoved' | 'usable'>;
  readonly scores: Pick<targetScores.TargetScores, 'onFailure' | 'recordSuspicion'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/**
 * Shares which targets fail. In a large fleet each VM sends a target a call every few seconds only,
 * so each would lose calls to a failing target before it knows.
 *
 * A VM reports a failure to the VMs that collect the reports of that target, chosen by rendezvous
 * hashing. When several VMs have reported it, all VMs are notified and treat it as if it had failed
 * a call of their own.
 */
export class TargetWatch implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly reports = new failureReports.FailureReports();

  private readonly accepted = new acceptedSuspicions.AcceptedSuspicions();

  private readonly reportedAt = new Map<string, clock.Milliseconds>();

  public constructor(private readonly options: TargetWatchOptions) {
    const { network, registry, scores } = options;
    this.store.add(
      network.serve(messages.TARGET_FAILED, async ({ target }, { name }) => {
        this.collect(target, name);
        return trueMyth.Result.ok({});
      }),
    );
    this.store.add(
      network.serve(messages.TARGET_SUSPECTED, async ({ target }) => {
        this.suspect(target);
        return trueMyth.Result.ok({});
      }),
    );
    this.store.add(scores.onFailure((target) => this.report(target)));
    this.store.add(registry.onRemoved(({ id }) => this.discard(id)));
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.store.dispose();
  }

  private report(target: string): void {
    const { clock: time, membership: members, network } = this.options;
    const now = time.now();
    if (now - (this.reportedAt.get(target) ?? Number.NEGATIVE_INFINITY) < REPORT_INTERVAL_MS)
      return;
    this.reportedAt.set(target, now);
    const collectors = keyedLog
      .rankByRendezvous(target, members.available(), ({ name }) => name)
      .slice(0, COLLECTING_VMS);
    if (collectors.some(({ name }) => name === network.self.name))
      this.collect(target, network.self.name);
    const peers = collectors.filter(({ name }) => name !== network.self.name);
    notifyPeers.notifyPeers(network, peers, messages.TARGET_FAILED, { target });
  }

  private collect(target: string, vm: string): void {
    const { clock: time, logger, membership: members, network } = this.options;
    if (!this.reports.note(target, vm, time.now())) return;
    const peers = members.available().filter(({ name }) => name !== network.self.name);
    logger.warn('Several VMs have seen a target fail.', { target, count: peers.length });
    this.suspect(target);
    notifyPeers.notifyPeers(network, peers, messages.TARGET_SUSPECTED, { target });
  }

  private suspect(target: string): void {
    const { clock: time, logger, registry, scores } = this.options;
    const pool = registry.find(target)?.pool;
    if (pool === undefined) return;
    const ids = registry.usable(pool).map(({ id }) => id);
    const isAccepted = this.accepted.accept(target, ids, time.now());
    if (isAccepted) scores.recordSuspicion(target);
    const kind = isAccepted ? 'accepted' : 'ignored';
    logger.info('Peers suspect a target.', { target, kind });
  }

  private discard(target: string): void {
    this.reports.discard(target);
    this.reportedAt.delete(target);
  }
}
