import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as limitedTarget from './LimitedTarget.js';
import * as messages from './messages.js';
import * as ownedTargetLimits from './OwnedTargetLimits.js';
import type * as requestPacer from './RequestPacer.js';
import type * as targetRegistry from './TargetRegistry.js';
import type { Target } from './Types.js';

/**
 * Maximum time that a call waits for a turn; shorter than a new owner of the limit waits, so that the
 * turns of the former one are used up by then.
 */
const MAXIMUM_TURN_WAIT_MS = 800;

/** Timeout of a request for a turn. */
const TURN_TIMEOUT_MS = 150;

/** Timeout of the notification that a limit has ended. */
const END_TIMEOUT_MS = 500;

/** The turn of a target that has no limit. */
const UNLIMITED: requestPacer.Turn = { isGranted: true, waitMs: 0 };

/** The part of `TargetLimits` that calls use. */
export type TargetLimiter = Pick<TargetLimits, 'exhaustedUntil' | 'isLimited' | 'takeTurn'>;

/** Dependencies of `TargetLimits`. */
export interface TargetLimitsOptions {
  readonly owner: ownedTargetLimits.OwnedTargetLimits;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available'>;
  readonly registry: Pick<targetRegistry.TargetRegistry, 'find' | 'onRemoved'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

/**
 * Keeps the limits that targets name in their responses. A limit holds for all VMs together, so one
 * VM owns it, chosen by rendezvous hashing, and each request that the target gets takes a turn from
 * the owner. While the owner is unreachable, a VM uses its share of the limit.
 */
export class TargetLimits implements lifetime.Disposable {
  private readonly limited = new Map<string, limitedTarget.LimitedTarget>();

  private readonly removal: lifetime.Disposable;

  public constructor(private readonly options: TargetLimitsOptions) {
    this.removal = options.registry.onRemoved((target) => {
      if (this.find(target) !== undefined) this.limited.delete(target.id);
    });
  }

  /** Records the limit that a response of a target has named; undefined if it has named none. */
  public observe(target: Target, ratePerSecond: number | undefined): void {
    const { clock: time, registry } = this.options;
    const known = this.find(target);
    if (ratePerSecond === undefined) {
      if (known !== undefined) this.end(known);
      return;
    }
    if (known !== undefined) {
      if (known.ratePerSecond !== ratePerSecond) this.log(target, 'changed', ratePerSecond);
      known.observe(ratePerSecond, time.now());
      return;
    }
    if (registry.find(target.id)?.incarnation !== target.incarnation) return;
    const created = new limitedTarget.LimitedTarget(target, ratePerSecond, time.now());
    this.limited.set(target.id, created);
    this.log(target, 'named', ratePerSecond);
  }

  /** Whether each request to a target needs a turn. */
  public isLimited(target: Target): boolean {
    return this.find(target) !== undefined;
  }

  /** The time until which a target has no turn; in the past if it may have one. */
  public exhaustedUntil(target: Target): clock.Milliseconds {
    return this.find(target)?.exhaustedUntil ?? Number.NEGATIVE_INFINITY;
  }

  /**
   * Takes a turn to send a request to a target, if there is one within `acceptedWaitMs` and within
   * the maximum wait.
   */
  public async takeTurn(
    target: Target,
    acceptedWaitMs: clock.Milliseconds,
  ): Promise<requestPacer.Turn> {
    const { clock: time } = this.options;
    const maximumWaitMs = Math.min(MAXIMUM_TURN_WAIT_MS, acceptedWaitMs);
    const limited = this.find(target);
    if (limited === undefined) return UNLIMITED;
    if (!limited.startAsking(time.now())) return limited.takeOwnTurn(time.now(), maximumWaitMs);
    const response = await this.ask(limited, maximumWaitMs);
    if (response === undefined) return limited.takeOwnTurn(time.now(), maximumWaitMs);
    const hasEnded = limited.applyResponse(response, time.now());
    if (!hasEnded) return response;
    if (this.find(target) === limited) this.forget(limited, 'ended, as a peer has seen');
    return UNLIMITED;
  }

  /** @inheritdoc */
  public dispose(): void {
    this.removal.dispose();
  }

  private async ask(
    limited: limitedTarget.LimitedTarget,
    maximumWaitMs: clock.Milliseconds,
  ): Promise<messages.TargetTurnResponse | undefined> {
    const { clock: time, logger, membership: members, network, owner } = this.options;
    const { id, incarnation } = limited.target;
    const available = members.available();
    const request = limited.toRequest(time.now(), maximumWaitMs);
    const member = ownedTargetLimits.ownerOf(id, incarnation, available);
    if (member === undefined || member.name === network.self.name) return owner.take(request);
    const response = await network.request(member.address, messages.TAKE_TARGET_TURN, request, {
      timeoutMs: TURN_TIMEOUT_MS,
    });
    if (response.isOk) return response.value;
    const rank = available.findIndex(({ name }) => name === network.self.name);
    const place = { rank: Math.max(0, rank), count: Math.max(1, available.length) };
    if (limited.recordUnreachableOwner(time.now(), place))
      logger.warn('The owner of the limit of a target did not respond.', {
        target: id,
        peer: member.name,
        reason: response.error.message,
      });
    return undefined;
  }

  /** Ends a limit and notifies its owner, which tells VMs that ask for turns. */
  private end(limited: limitedTarget.LimitedTarget): void {
    const { membership: members, network, owner } = this.options;
    const { id, incarnation } = limited.target;
    this.forget(limited, 'ended');
    const notification = { target: id, incarnation, ageMs: 0 };
    const member = ownedTargetLimits.ownerOf(id, incarnation, members.available());
    if (member === undefined || member.name === network.self.name) owner.recordEnd(notification);
    else
      network.request(member.address, messages.TARGET_LIMIT_ENDED, notification, {
        timeoutMs: END_TIMEOUT_MS,
      });
  }

  private forget(limited: limitedTarget.LimitedTarget, kind: string): void {
    this.limited.delete(limited.target.id);
    this.log(limited.target, kind, limited.ratePerSecond);
  }

  private find(target: Target): limitedTarget.LimitedTarget | undefined {
    const known = this.limited.get(target.id);
    return known?.target.incarnation === target.incarnation ? known : undefined;
  }

  private log(target: Target, kind: string, ratePerSecond: number): void {
    const { logger } = this.options;
    logger.info('A target has a limit for all VMs.', {
      target: target.id,
      kind,
      reason: `${ratePerSecond}/s`,
    });
  }
}
