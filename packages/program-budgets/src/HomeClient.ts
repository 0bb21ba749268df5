import * as clock from '@limpettack/clock';
import * as errors from '@limpettack/errors';
import * as keyedLog from '@limpettack/keyed-log';
import type * as lifetime from '@limpettack/lifetime';
import type * as logging from '@limpettack/logging';
import type * as membership from '@limpettack/membership';
import * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as chooseHome from './chooseHome.js';
import * as homeServer from './HomeServer.js';
import * as messages from './messages.js';
import type { Grant, ProgramBudgets, Reservation, Settlement } from './Types.js';

/** Timeout of a reservation request. A new home reads its partition before it responds. */
const RESERVE_TIMEOUT_MS = 1_300;

/**
 * Timeout of a coverage request. Exceeds the time that the home waits for the watermark to be
 * written.
 */
const COVER_TIMEOUT_MS = 1_500;

/**
 * Maximum number of requests for one reservation. Enough for two homes that name each other as the
 * owner, and a retry.
 */
const MAXIMUM_ATTEMPTS = 4;

/**
 * Timeout of a settlement request. Exceeds the time that a home waits for the record of a retained
 * turn.
 */
const SETTLE_TIMEOUT_MS = 1_300;

/**
 * A settlement that no home accepts within this time is dropped. A new home normally starts to
 * serve much earlier.
 */
const DELIVERY_TIMEOUT_MS = 6_000;

/**
 * How long accepted settlements are kept for redelivery. Exceeds the time until all members know a
 * new home.
 */
const REDELIVERY_WINDOW_MS = 3_000;

/** Minimum time between the starts of two attempts to deliver a settlement. */
const SETTLE_INTERVAL_MS = 100;

/** Fault kinds upon which the client tries another home. */
const TRY_ANOTHER_HOME: ReadonlySet<errors.ErrorKind> = new Set(['shutting-down', 'not-owner']);

/** Retry delay suggested to callers when no home can be reached. */
const RETRY_AFTER_MS = 500;

/** Dependencies and settings of the client. */
export interface HomeClientOptions {
  readonly server: homeServer.HomeServer;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly partitionCount: number;
}

/** A settlement that a home has accepted. */
interface Delivery {
  readonly settlement: Settlement;
  readonly address: string;
  readonly at: clock.Milliseconds;
}

/**
 * Sends reservations and settlements to the home of each program, the VM that owns the program's
 * partition.
 */
export class HomeClient implements ProgramBudgets, lifetime.Disposable {
  /** Address of the home that granted the reservation, by call in progress. */
  private readonly grantedBy = new Map<string, string>();

  /**
   * Recently accepted settlements. They are sent again when the owner of their partition changes.
   */
  private deliveries: Delivery[] = [];

  private readonly membershipSubscription: lifetime.Disposable;

  public constructor(private readonly options: HomeClientOptions) {
    this.membershipSubscription = options.membership.onChange(() => this.redeliver());
  }

  /** @inheritdoc */
  public dispose(): void {
    this.membershipSubscription.dispose();
  }

  /** @inheritdoc */
  public async reserve(
    reservation: Reservation,
    timeoutMs: clock.Milliseconds = Number.POSITIVE_INFINITY,
  ): Promise<trueMyth.Result<Grant, errors.Fault>> {
    const attempts: chooseHome.HomeAttempt[] = [];
    const granted = await this.requestGrant(reservation, timeoutMs, attempts);
    if (granted.isErr) this.settleUnsent(reservation, attempts);
    return granted;
  }

  /** @inheritdoc */
  public async cover(reservation: Reservation): Promise<boolean> {
    const address = this.grantedBy.get(reservation.call);
    const isCovered = address === undefined ? undefined : await this.coverAt(address, reservation);
    if (isCovered !== undefined) return isCovered;
    // The partition has moved to another home since the tokens were reserved. If none grants them now,
    // the first home still charges the turn, whose output may have been delivered in part.
    const renewed = await this.requestGrant(reservation, Number.POSITIVE_INFINITY, []);
    return renewed.isOk && renewed.value.isCovered;
  }

  /** @inheritdoc */
  public settle(settlement: Settlement): void {
    if (this.grantedBy.has(settlement.call)) this.deliver(settlement);
  }

  /** @inheritdoc */
  public async settleRetained(
    settlement: Settlement,
    timeoutMs: clock.Milliseconds,
  ): Promise<boolean> {
    if (!this.grantedBy.has(settlement.call)) return false;
    const delivery = this.deliver(settlement);
    return (await clock.withTimeout(this.options.clock, timeoutMs, delivery)) === true;
  }

  /** Asks the homes of a program in turn. Adds each home that does not grant to `attempts`. */
  private async requestGrant(
    reservation: Reservation,
    timeoutMs: clock.Milliseconds,
    attempts: chooseHome.HomeAttempt[],
  ): Promise<trueMyth.Result<Grant, errors.Fault>> {
    const { clock: time } = this.options;
    const deadline = time.now() + timeoutMs;
    const owners = this.ownersOf(reservation.program);
    while (attempts.length < MAXIMUM_ATTEMPTS && time.now() < deadline) {
      const next = chooseHome.chooseHome(owners, attempts);
      if (next === undefined) break;
      const { address, isInsisting } = next;
      const result = await this.reserveAt(address, reservation, isInsisting);
      if (result.isOk) {
        this.grantedBy.set(reservation.call, address);
        return trueMyth.Result.ok(result.value);
      }
      const { fault, message } = result.error;
      const isUnresponsive = fault === undefined;
      if (!isUnresponsive && !TRY_ANOTHER_HOME.has(fault.kind)) return trueMyth.Result.err(fault);
      const owner = fault?.details?.[homeServer.OWNER_ADDRESS_KEY];
      attempts.push({
        address,
        isUnresponsive,
        namedOwner: typeof owner === 'string' ? owner : undefined,
      });
      this.logNotServed(reservation, address, message);
    }
    const overrides = { run: errors.RUN_STATES.NOT_RUN, retryAfterMs: RETRY_AFTER_MS };
    return trueMyth.Result.err(errors.createFault('home-unavailable', undefined, overrides));
  }

  /**
   * Releases the tokens of a turn that will not be sent, if an unresponsive home may have reserved
   * them.
   */
  private settleUnsent(
    { call, program }: Reservation,
    attempts: readonly chooseHome.HomeAttempt[],
  ): void {
    const unresponsive = attempts.find(({ isUnresponsive }) => isUnresponsive);
    if (unresponsive === undefined) return;
    this.grantedBy.set(call, unresponsive.address);
    this.deliver({ program, call, tokens: 0, isKept: false });
  }

  /**
   * Delivers a settlement to the home that granted the reservation or, if that home does not serve
   * the request, to the current one. Resolves with false when no home accepts it in time.
   */
  private async deliver(settlement: Settlement): Promise<boolean> {
    const { clock: time } = this.options;
    const { call, program } = settlement;
    let address = this.grantedBy.get(call) ?? this.ownersOf(program)[0];
    this.grantedBy.delete(call);
    const deadline = time.now() + DELIVERY_TIMEOUT_MS;
    while (address !== undefined && time.now() < deadline) {
      const startedAt = time.now();
      const isRecorded = await this.settleAt(address, settlement);
      if (isRecorded === true) {
        this.recordDelivery(settlement, address);
        return true;
      }
      const pause = SETTLE_INTERVAL_MS - (time.now() - startedAt);
      if (pause > 0) await time.sleep(pause);
      // A home that still waits for the log responds with false and is tried again. A home that
      // does not serve the request may no longer be the owner.
      if (isRecorded === undefined) [address] = this.ownersOf(program);
    }
    // The home charges the full reservation instead.
    this.options.logger.warn('A turn could not be settled; its full reservation is charged.', {
      request: call,
      program,
    });
    return false;
  }

  private recordDelivery(settlement: Settlement, address: string): void {
    const cutoff = this.options.clock.now() - REDELIVERY_WINDOW_MS;
    this.deliveries = this.deliveries.filter(({ at }) => at > cutoff);
    this.deliveries.push({ settlement, address, at: this.options.clock.now() });
  }

  /**
   * Sends recent settlements again to the new owner of a partition, which may have read the log
   * before they were written.
   */
  private redeliver(): void {
    const cutoff = this.options.clock.now() - REDELIVERY_WINDOW_MS;
    const isMoved = ({ address, at, settlement }: Delivery): boolean =>
      at > cutoff && this.ownersOf(settlement.program)[0] !== address;
    const moved = this.deliveries.filter(isMoved);
    this.deliveries = this.deliveries.filter((entry) => !moved.includes(entry));
    moved.forEach(({ settlement }) => this.deliver(settlement));
  }

  /** Resolves with undefined when the home does not respond or does not serve the request. */
  private async settleAt(address: string, settlement: Settlement): Promise<boolean | undefined> {
    const { network, server } = this.options;
    if (address === network.self.address) return server.settle(settlement, address);
    const options = { timeoutMs: SETTLE_TIMEOUT_MS };
    const result = await network.request(address, messages.SETTLE, settlement, options);
    if (result.isOk) return result.value.isRecorded;
    this.options.logger.info('A home did not accept the settlement of a turn.', {
      request: settlement.call,
      program: settlement.program,
      peer: address,
      reason: result.error.message,
    });
    return undefined;
  }

  private async reserveAt(
    address: string,
    reservation: Reservation,
    isInsisting: boolean,
  ): Promise<wire.PeerResult<Grant>> {
    const { network, server } = this.options;
    if (address !== network.self.address) {
      const options = { timeoutMs: RESERVE_TIMEOUT_MS };
      const request = { ...reservation, isInsisting };
      return network.request(address, messages.RESERVE, request, options);
    }
    const result = await server.reserve(reservation, isInsisting);
    if (result.isOk) return trueMyth.Result.ok(result.value);
    const { error } = result;
    const kind = wire.PEER_FAILURES.REFUSED;
    return trueMyth.Result.err({ kind, message: error.message, fault: error });
  }

  /**
   * Resolves with undefined when the home that granted the reservation cannot report its coverage.
   */
  private async coverAt(address: string, reservation: Reservation): Promise<boolean | undefined> {
    const { network, server } = this.options;
    if (address === network.self.address) return server.cover(reservation);
    const options = { timeoutMs: COVER_TIMEOUT_MS };
    const response = await network.request(address, messages.COVER, reservation, options);
    return response.isOk ? response.value.isCovered : undefined;
  }

  private logNotServed(reservation: Reservation, address: string, reason: string): void {
    this.options.logger.warn('The home of a program did not serve.', {
      request: reservation.call,
      program: reservation.program,
      peer: address,
      reason,
    });
  }

  private ownersOf(program: string): readonly string[] {
    const { membership: members, partitionCount } = this.options;
    const partition = keyedLog.partitionOf(program, partitionCount);
    return homeServer.rankOwners(partition, members.available()).map(({ address }) => address);
  }
}
