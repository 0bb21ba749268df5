import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as programHomes from '@limpettack/program-homes';
import * as trueMyth from 'true-myth';

/** Budgets without an end that note which turns hold tokens. */
export class RecordedBudgets implements programHomes.ProgramBudgets {
  /** Turns for which tokens are set aside. */
  public readonly open = new Set<string>();

  public readonly settled: programHomes.Settlement[] = [];

  public coverCount = 0;

  /** How long the homes may take, for each reservation. */
  public readonly patienceMs: clock.Milliseconds[] = [];

  /** Answers a reservation. */
  public answer: () => Promise<trueMyth.Result<programHomes.Grant, errors.Fault>> = async () =>
    trueMyth.Result.ok({ isCovered: true });

  /** Tells whether the log holds the record of a budget. */
  public tellCovered: () => Promise<boolean> = async () => true;

  /** @inheritdoc */
  public async reserve(
    { call }: programHomes.Reservation,
    patienceMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<programHomes.Grant, errors.Fault>> {
    this.patienceMs.push(patienceMs);
    const granted = await this.answer();
    if (granted.isOk) this.open.add(call);
    return granted;
  }

  /** @inheritdoc */
  public async cover({ call }: programHomes.Reservation): Promise<boolean> {
    this.coverCount += 1;
    const isCovered = await this.tellCovered();
    // A home that does not know of the turn sets its tokens aside anew.
    this.open.add(call);
    return isCovered;
  }

  /** @inheritdoc */
  public settle(settlement: programHomes.Settlement): void {
    if (this.open.delete(settlement.call)) this.settled.push(settlement);
  }

  /** @inheritdoc */
  public async settleKept(settlement: programHomes.Settlement): Promise<boolean> {
    this.settle(settlement);
    return true;
  }
}
