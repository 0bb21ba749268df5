import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as trueMyth from 'true-myth';

/** A request to the program's home to reserve tokens for a turn before it is sent to a target. */
export interface Reservation {
  readonly program: string;
  /** The id of the turn's request. */
  readonly call: string;
  /** Maximum number of tokens that all turns of the program together may generate. */
  readonly budgetTokens: number;
  /** Maximum number of tokens that this turn may generate. */
  readonly mostTokens: number;
  /** The turn whose history the new turn continues. */
  readonly previousTurn?: string | undefined;
  /** Whether the turn's route retains turns. VMs of earlier releases omit it. */
  readonly isRetained?: boolean | undefined;
}

/** The home's response to a granted reservation. */
export interface Grant {
  /** Whether the watermark in the log covers the turn, so that its tokens may be sent at once. */
  readonly isCovered: boolean;
  /**
   * Tokens of a turn that may be sent before the watermark covers it. Omitted if none may, and by
   * homes of earlier releases.
   */
  readonly uncoveredTokens?: number | undefined;
  /** Address of the process that wrote the previous turn, if the home knows it. */
  readonly writer?: string | undefined;
}

/** The final token usage of a turn. */
export interface Settlement {
  readonly program: string;
  readonly call: string;
  /** Number of tokens that were sent to the caller. */
  readonly tokens: number;
  /** Whether the turn is retained, so that later turns can continue it. */
  readonly isKept: boolean;
}

/** The interface through which an entry reserves and settles tokens of program budgets. */
export interface ProgramBudgets {
  /**
   * Reserves tokens of the program's budget. Faults, all not run: `budget-exhausted`,
   * `home-unavailable`, `log-unavailable`. No further home is tried after the timeout, but a
   * request that is in progress at that time may still complete later.
   */
  reserve(
    reservation: Reservation,
    timeoutMs: clock.Milliseconds,
  ): Promise<trueMyth.Result<Grant, errors.Fault>>;
  /**
   * Waits until the watermark in the log covers a reserved turn, so that its tokens may be sent.
   * Resolves with false on a timeout; the call can be repeated.
   */
  cover(reservation: Reservation): Promise<boolean>;
  /** Releases the reserved tokens that the turn has not used. */
  settle(settlement: Settlement): void;
  /**
   * Releases the reserved tokens that a retained turn has not used. Resolves with true once the
   * log charges the program for no more than the used tokens, and with false on a timeout or when
   * the home cannot be reached.
   */
  settleRetained(settlement: Settlement, timeoutMs: clock.Milliseconds): Promise<boolean>;
}
