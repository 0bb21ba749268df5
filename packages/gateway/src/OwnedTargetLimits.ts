import type * as clock from '@limpettack/clock';
import * as keyedLog from '@limpettack/keyed-log';
import * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as limitObservation from './LimitObservation.js';
import * as messages from './messages.js';
import * as requestPacer from './RequestPacer.js';

/** A limit that no VM has asked for since this long is removed. */
const UNUSED_MS = 60_000;

/**
 * Targets accept half as much again as the limit that they name, and five requests more in four
 * seconds. Most of this is used, because the other targets of the pool have to take the rest; what
 * is left covers requests that arrive later than they were granted. It also lets a request through
 * now and then at a limit of zero, whose response shows its end.
 */
const MARGIN_FACTOR = 1.4;
const MARGIN_PER_SECOND = 0.9;

/** A VM that becomes the owner of a limit grants its first turn after this time. */
const TAKEOVER_MS = 1_000;

/** Timeout of a request that is passed on to the owner; shorter than the sender's. */
const FORWARD_TIMEOUT_MS = 100;

/** Minimum interval between log lines about one limit. */
const LOG_INTERVAL_MS = 1_000;

/** Dependencies of `OwnedTargetLimits`. */
export interface OwnedTargetLimitsOptions {
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
}

interface OwnedLimit {
  readonly target: string;
  readonly pacer: requestPacer.RequestPacer;
  observation: limitObservation.LimitObservation;
  usedAt: clock.Milliseconds;
  loggedAt: clock.Milliseconds;
  granted: number;
  refused: number;
}

/**
 * The limits of targets that this process owns: it grants turns to send requests to all VMs. It
 * knows the latest observation of each limit that any VM has sent along.
 */
export class OwnedTargetLimits implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly owned = new Map<string, OwnedLimit>();

  public constructor(private readonly options: OwnedTargetLimitsOptions) {
    const { membership: members, network } = options;
    this.store.add(
      network.serve(messages.TAKE_TARGET_TURN, async (request) =>
        trueMyth.Result.ok((await this.forward(request)) ?? this.take(request)),
      ),
    );
    this.store.add(
      network.serve(messages.TARGET_LIMIT_ENDED, async (request) => {
        this.recordEnd(request);
        return trueMyth.Result.ok({});
      }),
    );
    this.store.add(members.onChange(() => this.removeLimitsOfOtherOwners()));
  }

  /** Grants a turn to send a request to a target. */
  public take(request: messages.TargetTurnRequest): messages.TargetTurnResponse {
    const now = this.options.clock.now();
    const { ageMs, maximumWaitMs, ratePerSecond } = request;
    const limit = this.limitOf(request, { ratePerSecond, observedAt: now - ageMs });
    limit.usedAt = now;
    const { observation } = limit;
    const observationAgeMs = Math.max(0, now - observation.observedAt);
    if (observation.ratePerSecond === undefined)
      return { isGranted: true, waitMs: 0, ratePerSecond: null, ageMs: observationAgeMs };
    limit.pacer.setRate(pacedRate(observation.ratePerSecond));
    const turn = limit.pacer.take(now, maximumWaitMs);
    if (turn.isGranted) limit.granted += 1;
    else limit.refused += 1;
    this.logTurns(limit, observation.ratePerSecond);
    return { ...turn, ratePerSecond: observation.ratePerSecond, ageMs: observationAgeMs };
  }

  /** Records that a response has named no limit any more. */
  public recordEnd({ ageMs, incarnation, target }: messages.EndedTargetLimit): void {
    const limit = this.owned.get(keyOf(target, incarnation));
    if (limit === undefined) return;
    const observedAt = this.options.clock.now() - ageMs;
    limit.observation = limitObservation.newer(limit.observation, {
      ratePerSecond: undefined,
      observedAt,
    });
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.store.dispose();
  }

  /**
   * Passes a request on if another VM owns the limit, which the sender may not know yet. Two VMs
   * would otherwise grant turns of the same limit.
   */
  private async forward(
    request: messages.TargetTurnRequest,
  ): Promise<messages.TargetTurnResponse | undefined> {
    const { membership: members, network } = this.options;
    const owner = ownerOf(request.target, request.incarnation, members.available());
    if (request.isForwarded || owner === undefined || owner.name === network.self.name)
      return undefined;
    const forwarded = { ...request, isForwarded: true };
    const response = await network.request(owner.address, messages.TAKE_TARGET_TURN, forwarded, {
      timeoutMs: FORWARD_TIMEOUT_MS,
    });
    return response.isOk ? response.value : undefined;
  }

  private limitOf(
    { incarnation, knownMs, target }: messages.TargetTurnRequest,
    observation: limitObservation.LimitObservation,
  ): OwnedLimit {
    const key = keyOf(target, incarnation);
    const known = this.owned.get(key);
    if (known !== undefined) {
      known.observation = limitObservation.newer(known.observation, observation);
      return known;
    }
    this.removeUnused();
    const now = this.options.clock.now();
    // An earlier owner may have granted turns that this process does not know, and may still grant
    // some to VMs that do not know of the new owner.
    const firstTurn = knownMs > TAKEOVER_MS ? now + TAKEOVER_MS : now;
    const rate = pacedRate(observation.ratePerSecond ?? 0);
    const created = {
      target,
      pacer: new requestPacer.RequestPacer(rate, firstTurn),
      observation,
      usedAt: now,
      loggedAt: now,
      granted: 0,
      refused: 0,
    };
    this.owned.set(key, created);
    return created;
  }

  private removeUnused(): void {
    const before = this.options.clock.now() - UNUSED_MS;
    [...this.owned]
      .filter(([, { usedAt }]) => usedAt < before)
      .forEach(([key]) => this.owned.delete(key));
  }

  private removeLimitsOfOtherOwners(): void {
    const { membership: members, network } = this.options;
    const available = members.available();
    [...this.owned.keys()]
      .filter((key) => rankOwners(key, available)[0]?.name !== network.self.name)
      .forEach((key) => this.owned.delete(key));
  }

  private logTurns(limit: OwnedLimit, ratePerSecond: number): void {
    const { clock: time, logger } = this.options;
    const now = time.now();
    if (now - limit.loggedAt < LOG_INTERVAL_MS) return;
    logger.info('Turns of a target with a limit were granted.', {
      target: limit.target,
      count: limit.granted,
      spanMs: Math.round(now - limit.loggedAt),
      reason: `${ratePerSecond}/s, ${limit.refused} refused`,
    });
    limit.loggedAt = now;
    limit.granted = 0;
    limit.refused = 0;
  }
}

function pacedRate(ratePerSecond: number): number {
  return MARGIN_FACTOR * ratePerSecond + MARGIN_PER_SECOND;
}

/** The member that owns the limit of a target's process. */
export function ownerOf<Member extends wire.PeerIdentity>(
  target: string,
  incarnation: string,
  members: readonly Member[],
): Member | undefined {
  return rankOwners(keyOf(target, incarnation), members)[0];
}

function keyOf(target: string, incarnation: string): string {
  return `${target}/${incarnation}`;
}

function rankOwners<Member extends wire.PeerIdentity>(
  key: string,
  members: readonly Member[],
): readonly Member[] {
  return keyedLog.rankByRendezvous(`target-limit/${key}`, members, ({ name }) => name);
}
