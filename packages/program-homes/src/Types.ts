import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as trueMyth from 'true-myth';

/** What a turn asks of the program's home before it is sent to a target. */
export interface Reservation {
  readonly program: string;
  /** The turn's request. */
  readonly call: string;
  /** Tokens that all turns of the program may generate. */
  readonly budgetTokens: number;
  /** Tokens that this turn may generate at most. */
  readonly mostTokens: number;
  /** The turn whose history the new one goes on from. */
  readonly previousTurn?: string | undefined;
}

/** What the home answers. */
export interface Grant {
  /** Whether the log holds enough that the turn's tokens may be handed out at once. */
  readonly isCovered: boolean;
  /** Where the process is that wrote the previous turn, if the home knows. */
  readonly writer?: string | undefined;
}

/** How a turn ended. */
export interface Settlement {
  readonly program: string;
  readonly call: string;
  /** Tokens that were handed to the caller. */
  readonly tokens: number;
  /** Whether the turn is kept, so that later ones may go on from it. */
  readonly isKept: boolean;
}

/** Budgets of programs as an entry sees them. */
export interface ProgramBudgets {
  /**
   * Sets tokens of the program's budget aside. Faults, all not run: `budget-exhausted`,
   * `home-unavailable`, `log-unavailable`. No further home is asked after the patience, but one
   * that is being asked then may still answer later.
   */
  reserve(
    reservation: Reservation,
    patienceMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<Grant, errors.Fault>>;
  /**
   * Waits until the log holds enough that the tokens of a reserved turn may be handed out. False
   * when that takes too long; it can be asked for again.
   */
  cover(reservation: Reservation): Promise<boolean>;
  /** Gives back what the turn has not used. */
  settle(settlement: Settlement): void;
  /**
   * Gives back what a kept turn has not used, and resolves when the log counts no more for it.
   * False when the time is over before, or when the home cannot be reached.
   */
  settleKept(settlement: Settlement, timeoutMs: clock.Milliseconds): Promise<boolean>;
}
