import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as programBudgets from '@limpettack/program-budgets';
import * as trueMyth from 'true-myth';

/** Unlimited budgets that record which turns hold reservations. */
export class RecordedBudgets implements programBudgets.ProgramBudgets {
  /** Ids of the turns with an unsettled reservation. */
  public readonly openReservations = new Set<string>();

  /** The requests to reserve tokens, in order. */
  public readonly reservations: programBudgets.Reservation[] = [];

  public readonly settlements: programBudgets.Settlement[] = [];

  public coverCount = 0;

  /** Timeouts of the requests to reserve tokens, in order. */
  public readonly timeoutsMs: clock.Milliseconds[] = [];

  /** Produces the response to a request to reserve tokens. */
  public respondToReserve: () => Promise<trueMyth.Result<programBudgets.Grant, errors.Fault>> =
    async () => trueMyth.Result.ok({ isCovered: true });

  /** Produces the response to `cover`: whether the log covers a reservation. */
  public respondToCover: () => Promise<boolean> = async () => true;

  /** @inheritdoc */
  public async reserve(
    reservation: programBudgets.Reservation,
    timeoutMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<programBudgets.Grant, errors.Fault>> {
    this.reservations.push(reservation);
    this.timeoutsMs.push(timeoutMs);
    const granted = await this.respondToReserve();
    if (granted.isOk) this.openReservations.add(reservation.call);
    return granted;
  }

  /** @inheritdoc */
  public async cover({ call }: programBudgets.Reservation): Promise<boolean> {
    this.coverCount += 1;
    const isCovered = await this.respondToCover();
    // A home that does not know the turn's reservation creates it again.
    this.openReservations.add(call);
    return isCovered;
  }

  /** @inheritdoc */
  public settle(settlement: programBudgets.Settlement): void {
    if (this.openReservations.delete(settlement.call)) this.settlements.push(settlement);
  }

  /** @inheritdoc */
  public async settleRetained(settlement: programBudgets.Settlement): Promise<boolean> {
    this.settle(settlement);
    return true;
  }
}
