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
  /** All turns of the chain that this turn continues, as `history` returned them. */
  readonly earlier?: History['turns'] | undefined;
  readonly workspace: string;
  /** What the turn adds to the history: its input, followed by the generated output. */
  readonly content: Uint8Array;
  /** How long the turn has to be retained, counted from the end of its response. */
  readonly retentionMs: clock.Milliseconds;
  /** The maximum duration of a turn that continues it. */
  readonly maximumRunMs: clock.Milliseconds;
}

/** Optional hints for finding a turn and for retaining it and the turns that it continues. */
export interface TurnHints {
  /** The address of the process that wrote the turn, if known. */
  readonly writer?: string | undefined;
  /**
   * The retention of the new turn that continues this one. This turn and those before it are
   * retained at least until the new turn ends.
   */
  readonly retentionMs?: clock.Milliseconds | undefined;
  /** The maximum duration of the new turn that continues this one. */
  readonly mostRunMs?: clock.Milliseconds | undefined;
}

/** A turn and all turns that it continues. */
export interface History {
  /** The contents of the turns, oldest first. */
  readonly contents: readonly Uint8Array[];
  /** The positions of the turns in the log, newest first. */
  readonly turns: readonly turnRecords.EarlierTurn[];
}

/** Stores the turns of all programs for their retention. */
export interface TurnStore {
  /**
   * Returns whether a turn should begin. It should not while the log is full, since its record would
   * not be stored; from time to time one should, to find out.
   */
  admit(): boolean;

  /**
   * Returns the history up to and including a turn. All faults mean that nothing was run:
   * `turn-unknown` only if a turn of the history is certainly not stored or belongs to another
   * workspace, otherwise `log-unavailable`.
   */
  history(
    turn: string,
    workspace: string,
    hints: TurnHints,
  ): Promise<trueMyth.Result<History, errors.Fault>>;

  /**
   * Stores a turn and extends the retention of the turns that it continues to the same time.
   * Resolves when the log holds the turn, or with `log-unavailable` after the timeout. Does not
   * wait for the extension.
   */
  keep(turn: Turn, timeoutMs: clock.Milliseconds): Promise<trueMyth.Result<void, errors.Fault>>;
}
