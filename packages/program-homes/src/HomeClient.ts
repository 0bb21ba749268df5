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

/** Time for a home to answer. A new home first reads its programs. */
const RESERVE_TIMEOUT_MS = 1_300;

/** Time for a home to say that the log holds enough: above its own wait. */
const COVER_TIMEOUT_MS = 1_500;

/** Questions to homes for one reservation, one after the other: two that name each other, and again. */
const HOMES_ASKED = 4;

/** Time for a settlement to be taken: above the wait of a home for the record of a kept turn. */
const SETTLE_TIMEOUT_MS = 1_300;

/** A settlement that no home takes within this time is given up: new homes serve long before. */
const DELIVERY_MS = 6_000;

/** Above the time in which all members learn of a new one. */
const REMEMBERED_MS = 3_000;

/** Time between two attempts to settle. */
const SETTLE_INTERVAL_MS = 100;

/** Faults with which a home says that another one is to be asked. */
const ELSEWHERE: ReadonlySet<errors.ErrorKind> = new Set(['shutting-down', 'not-owner']);

/** When to come back when no home can be reached. */
const COME_BACK_MS = 500;

/** What the client needs. */
export interface HomeClientOptions {
  readonly server: homeServer.HomeServer;
  readonly network: wire.PeerNetwork;
  readonly membership: Pick<membership.Membership, 'available' | 'onChange'>;
  readonly clock: clock.Clock;
  readonly logger: logging.Logger;
  readonly partitionCount: number;
}

/** A settlement that a home has taken. */
interface Delivered {
  readonly settlement: Settlement;
  readonly address: string;
  readonly at: clock.Milliseconds;
}

/** Reserves and settles at the home of each program. */
export class HomeClient implements ProgramBudgets, lifetime.Disposable {
  /** The homes that granted the reservations of the calls under way. */
  private readonly grantedBy = new Map<string, string>();

  private delivered: Delivered[] = [];

  private readonly changes: lifetime.Disposable;

  public constructor(private readonly options: HomeClientOptions) {
    this.changes = options.membership.onChange(() => this.deliverAgain());
  }

  /** @inheritdoc */
  public dispose(): void {
    this.changes.dispose();
  }

  /** @inheritdoc */
  public async reserve(
    reservation: Reservation,
    patienceMs: clock.Milliseconds = Number.POSITIVE_INFINITY,
  ): Promise<trueMyth.Result<Grant, errors.Fault>> {
    const { clock: time } = this.options;
    const askUntil = time.now() + patienceMs;
    const owners = this.homesOf(reservation.program);
    const answers: chooseHome.HomeAnswer[] = [];
    while (answers.length < HOMES_ASKED && time.now() < askUntil) {
      const next = chooseHome.chooseHome(owners, answers);
      if (next === undefined) break;
      const { address, isInsisting } = next;
      const result = await this.reserveAt(address, reservation, isInsisting);
      if (result.isOk) {
        this.grantedBy.set(reservation.call, address);
        return trueMyth.Result.ok(result.value);
      }
      const { fault, message } = result.error;
      const isSilent = fault === undefined;
      if (!isSilent && !ELSEWHERE.has(fault.kind)) {
        this.giveBack(reservation, answers);
        return trueMyth.Result.err(fault);
      }
      const owner = fault?.details?.[homeServer.OWNER_DETAIL];
      answers.push({ address, isSilent, named: typeof owner === 'string' ? owner : undefined });
      this.logElsewhere(reservation, address, message);
    }
    this.giveBack(reservation, answers);
    const overrides = { run: errors.RUN_STATES.NOT_RUN, retryAfterMs: COME_BACK_MS };
    return trueMyth.Result.err(errors.createFault('home-unavailable', undefined, overrides));
  }

  /** @inheritdoc */
  public async cover(reservation: Reservation): Promise<boolean> {
    const address = this.grantedBy.get(reservation.call);
    const isCovered = address === undefined ? undefined : await this.coverAt(address, reservation);
    if (isCovered !== undefined) return isCovered;
    // The partition has gone elsewhere since the tokens were set aside.
    const again = await this.reserve(reservation);
    return again.isOk && again.value.isCovered;
  }

  /** @inheritdoc */
  public settle(settlement: Settlement): void {
    if (this.grantedBy.has(settlement.call)) this.deliver(settlement);
  }

  /** @inheritdoc */
  public async settleKept(settlement: Settlement, timeoutMs: clock.Milliseconds): Promise<boolean> {
    if (!this.grantedBy.has(settlement.call)) return false;
    const delivery = this.deliver(settlement);
    return (await clock.within(this.options.clock, timeoutMs, delivery)) === true;
  }

  /** Settles a turn that is not sent, if a silent home may have set tokens aside for it. */
  private giveBack(
    { call, program }: Reservation,
    answers: readonly chooseHome.HomeAnswer[],
  ): void {
    const silent = answers.find(({ isSilent }) => isSilent);
    if (silent === undefined) return;
    this.grantedBy.set(call, silent.address);
    this.deliver({ program, call, tokens: 0, isKept: false });
  }

  /** Has a settlement taken by the program's home, whichever that is; false when none does. */
  private async deliver(settlement: Settlement): Promise<boolean> {
    const { clock: time } = this.options;
    const { call, program } = settlement;
    let address = this.grantedBy.get(call) ?? this.homesOf(program)[0];
    this.grantedBy.delete(call);
    const latest = time.now() + DELIVERY_MS;
    while (address !== undefined && time.now() < latest) {
      const startedAt = time.now();
      const isRecorded = await this.settleAt(address, settlement);
      if (isRecorded === true) {
        this.remember(settlement, address);
        return true;
      }
      const pause = SETTLE_INTERVAL_MS - (time.now() - startedAt);
      if (pause > 0) await time.sleep(pause);
      // A home that waits for the log says so; one that does not serve may be none any more.
      if (isRecorded === undefined) [address] = this.homesOf(program);
    }
    // The home counts the whole reservation in its place.
    this.options.logger.warn('A turn could not be settled.', { request: call, program });
    return false;
  }

  private remember(settlement: Settlement, address: string): void {
    const horizon = this.options.clock.now() - REMEMBERED_MS;
    this.delivered = this.delivered.filter(({ at }) => at > horizon);
    this.delivered.push({ settlement, address, at: this.options.clock.now() });
  }

  /** Tells a new owner, which may have read the log before the former one wrote what it heard. */
  private deliverAgain(): void {
    const horizon = this.options.clock.now() - REMEMBERED_MS;
    const isMoved = ({ address, at, settlement }: Delivered): boolean =>
      at > horizon && this.homesOf(settlement.program)[0] !== address;
    const moved = this.delivered.filter(isMoved);
    this.delivered = this.delivered.filter((entry) => !moved.includes(entry));
    moved.forEach(({ settlement }) => this.deliver(settlement));
  }

  /** Nothing when the home does not answer. */
  private async settleAt(address: string, settlement: Settlement): Promise<boolean | undefined> {
    const { network, server } = this.options;
    if (address === network.self.address) return server.settle(settlement, address);
    const options = { timeoutMs: SETTLE_TIMEOUT_MS };
    const result = await network.request(address, messages.SETTLE, settlement, options);
    if (result.isOk) return result.value.isRecorded;
    this.options.logger.info('A home did not settle a turn.', {
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

  /** Nothing when the home that granted the reservation cannot tell. */
  private async coverAt(address: string, reservation: Reservation): Promise<boolean | undefined> {
    const { network, server } = this.options;
    if (address === network.self.address) return server.cover(reservation);
    const options = { timeoutMs: COVER_TIMEOUT_MS };
    const answer = await network.request(address, messages.COVER, reservation, options);
    return answer.isOk ? answer.value.isCovered : undefined;
  }

  private logElsewhere(reservation: Reservation, address: string, reason: string): void {
    this.options.logger.warn('The home of a program did not serve.', {
      request: reservation.call,
      program: reservation.program,
      peer: address,
      reason,
    });
  }

  private homesOf(program: string): readonly string[] {
    const { membership: members, partitionCount } = this.options;
    const partition = keyedLog.partitionOf(program, partitionCount);
    return homeServer.rankOwners(partition, members.available()).map(({ address }) => address);
  }
}
