import type * as clock from '@limpettack/clock';
import type * as errors from '@limpettack/errors';
import type * as trueMyth from 'true-myth';
import type * as turnRecords from './turnRecords.js';

/** A completed turn, as it is stored. */
export interface Turn {
  /** The id of the turn's request. */
  readonly id: string;
  /** The id of the turn that it continues. */
  readonly previous?: string | undefined;
  /** The complete chain up to the previous turn, as `history` returned it. */
  readonly earlier?: History['turns'] | undefined;
  readonly workspace: string;
  /** What the turn adds to the history: its input, followed by the generated output. */
  readonly content: Uint8Array;
  /** How long the turn has to be retained, counted from the end of its response. */
  readonly retentionMs: clock.Milliseconds;
}

/** Hints for the lookup of a turn and for the retention of its chain. */
export interface TurnHints {
  /** The address of the process that wrote the turn, if known. */
  readonly writer?: string | undefined;
  /**
   * The retention of the turn that continues it. The chain is retained at least until that turn
   * ends.
   */
  readonly retentionMs?: clock.Milliseconds | undefined;
  /** The maximum duration of the turn that continues it. */
  readonly mostRunMs?: clock.Milliseconds | undefined;
}

/** A chain of turns. */
export interface History {
  /** The contents of the turns, oldest first. */
  readonly contents: readonly Uint8Array[];
  /** The positions of the turns in the log, newest first. */
  readonly turns: readonly turnRecords.EarlierTurn[];
}

/** Stores the turns of all programs for their retention. */
export interface TurnStore {
  /**
   * Returns the history up to and including a turn. The faults mean that nothing was run:
   * `turn-unknown` only if the turn is certainly not stored, otherwise `log-unavailable`.
   */
  history(
    turn: string,
    workspace: string,
    hints: TurnHints,
  ): Promise<trueMyth.Result<History, errors.Fault>>;

  /**
   * Stores a turn and extends the retention of its chain to the same time. Resolves when the log
   * holds the turn, or with `log-unavailable` after the timeout. It does not wait for the extension
   * of the chain.
   */
  keep(turn: Turn, timeoutMs: clock.Milliseconds): Promise<trueMyth.Result<void, errors.Fault>>;
}
