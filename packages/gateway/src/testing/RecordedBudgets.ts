import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as programHomes from '@limpettack/program-homes';
import * as trueMyth from 'true-myth';

/** Unlimited budgets that record which turns hold reservations. */
export class RecordedBudgets implements programHomes.ProgramBudgets {
  /** Ids of the turns with an unsettled reservation. */
  public readonly openReservations = new Set<string>();

  public readonly settled: programHomes.Settlement[] = [];

  public coverCount = 0;

  /** Timeout of each reservation. */
  public readonly timeoutsMs: clock.Milliseconds[] = [];

  /** Produces the response to a reservation. */
  public respondToReserve: () => Promise<trueMyth.Result<programHomes.Grant, errors.Fault>> =
    async () => trueMyth.Result.ok({ isCovered: true });

  /** Produces the response to `cover`: whether the log holds the record of a budget. */
  public respondToCover: () => Promise<boolean> = async () => true;

  /** @inheritdoc */
  public async reserve(
    { call }: programHomes.Reservation,
    timeoutMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<programHomes.Grant, errors.Fault>> {
    this.timeoutsMs.push(timeoutMs);
    const granted = await this.respondToReserve();
    if (granted.isOk) this.openReservations.add(call);
    return granted;
  }

  /** @inheritdoc */
  public async cover({ call }: programHomes.Reservation): Promise<boolean> {
    this.coverCount += 1;
    const isCovered = await this.respondToCover();
    // A home without a reservation of the turn makes a new one.
    this.openReservations.add(call);
    return isCovered;
  }

  /** @inheritdoc */
  public settle(settlement: programHomes.Settlement): void {
    if (this.openReservations.delete(settlement.call)) this.settled.push(settlement);
  }

  /** @inheritdoc */
  public async settleKept(settlement: programHomes.Settlement): Promise<boolean> {
    this.settle(settlement);
    return true;
  }
}
